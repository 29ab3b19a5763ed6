"""Links between the nodes and what they tell each other."""
