import pytest

from archhatch.wal import WriteAheadLog, pack_record, read_records

RECORDS = [b"one", b"", b"three" * 100]
COMPLETE_LOG = b"".join(pack_record(r) for r in RECORDS)


@pytest.mark.parametrize(
    "data, good, behind",
    [
        (COMPLETE_LOG, 3, False),
        (COMPLETE_LOG[:-1], 2, False),  # torn in the last record
        (COMPLETE_LOG + b"\0" * 40, 3, False),  # zeros behind the end
        (COMPLETE_LOG + COMPLETE_LOG[:7], 3, False),  # torn in a head
        (b"", 0, False),
        (COMPLETE_LOG[:14] + b"X" + COMPLETE_LOG[15:], 0, True),  # damage before good records
        (COMPLETE_LOG + b"junk" + pack_record(b"later"), 3, True),
    ],
)
def test_read(data, good, behind):
    records, end, later = read_records(data)
    assert records == RECORDS[:good] and later is behind
    assert data[:end] == b"".join(pack_record(r) for r in records)


def test_append_load_and_cut(run, tmp_path):
    async def go():
        wal = WriteAheadLog(str(tmp_path))
        assert list(wal.load()) == []
        wal.start()
        await wal.append(b"a", b"b")
        await wal.append(b"c")
        await wal.close()
        with open(wal.path, "ab") as f:
            f.write(pack_record(b"torn")[:-2])
        again = WriteAheadLog(str(tmp_path))
        assert list(again.load()) == [b"a", b"b", b"c"] and not again.is_damaged
        again.start()
        await again.append(b"d")
        await again.close()
        assert list(WriteAheadLog(str(tmp_path)).load()) == [b"a", b"b", b"c", b"d"]

    run(go())


def test_damage_is_reported_and_kept(tmp_path):
    path = tmp_path / "tolls"
    path.write_bytes(pack_record(b"a") + b"rot!" + pack_record(b"b"))
    wal = WriteAheadLog(str(tmp_path))
    assert list(wal.load()) == [b"a"] and wal.is_damaged
    assert (tmp_path / "tolls.damaged").exists()


def test_rewrite_takes_what_waits_behind_it(run, tmp_path):
    async def go():
        import asyncio

        wal = WriteAheadLog(str(tmp_path))
        wal.load()
        wal.start()
        await wal.append(*[b"x" * 100] * 50)
        await asyncio.gather(wal.rewrite(lambda: [b"kept"]), wal.append(b"new"))
        size = wal.size
        await wal.close()
        assert size < 200
        assert list(WriteAheadLog(str(tmp_path)).load()) == [b"kept", b"new"]

    run(go())


def test_half_written_rewrite_is_dropped(tmp_path):
    (tmp_path / "tolls").write_bytes(pack_record(b"old"))
    (tmp_path / "tolls.new").write_bytes(pack_record(b"half")[:5])
    assert list(WriteAheadLog(str(tmp_path)).load()) == [b"old"]
    assert not (tmp_path / "tolls.new").exists()
