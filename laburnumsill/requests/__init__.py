"""The request pipeline and the policies behind it."""
