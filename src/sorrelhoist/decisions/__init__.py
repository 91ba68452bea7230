"""Pure decisions: no input or output, the present time is an argument."""
