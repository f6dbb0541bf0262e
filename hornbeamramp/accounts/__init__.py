"""Client accounts: whose key a call carries, and what room an account may have."""
