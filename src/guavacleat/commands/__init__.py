"""One module per ``guavacleat`` command; each defines its flags and ``main(argv)``."""
