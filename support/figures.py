"""Prints benchmark figures in the form that support/bench.sh collects."""

missed = []


def figure(name, value, unit, bound, at_least=False):
    """Prints one figure; remembers it if it misses its bound."""
    held = value >= bound if at_least else value <= bound
    print(f"figure {name} {value:g} {unit} bound {bound:g} {'ok' if held else 'MISSED'}", flush=True)
    if not held:
        missed.append(name)
