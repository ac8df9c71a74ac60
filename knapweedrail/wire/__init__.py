"""Generated code for the messages between routers."""
