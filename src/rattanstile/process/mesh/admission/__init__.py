"""Early rejection of requests that an overloaded service cannot finish."""
