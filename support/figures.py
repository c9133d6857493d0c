"""Prints benchmark figures in the form that support/bench.sh collects."""

missed = []


def figure(name, value, unit, bound, at_least=False):
    """Prints one figure; adds it to missed if it violates its bound."""
    ok = value >= bound if at_least else value <= bound
    print(f"figure {name} {value:g} {unit} bound {bound:g} {'ok' if ok else 'MISSED'}", flush=True)
    if not ok:
        missed.append(name)
