__all__ = ['ttypes', 'constants', 'Agent', 'Rank', 'Control']
