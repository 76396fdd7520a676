"""Rendezvous hashing moves only the keys that it must."""

from archhatch.membership import choose, rank


def test_rank_moves_only_what_it_must():
    names = [f"n{i}" for i in range(6)]
    keys = [f"k{i}" for i in range(200)]
    before = {k: choose(k, names)[0] for k in keys}
    after = {k: choose(k, names[:-1])[0] for k in keys}
    assert all(before[k] == after[k] or before[k] == "n5" for k in keys)
    assert len(set(before.values())) == 6 and rank("k", names) != rank("j", names)
