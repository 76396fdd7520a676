"""The command line: programs and operator tools. The only package that imports all others."""
