__all__ = ['ttypes', 'constants', 'Sidecar']
