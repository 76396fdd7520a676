"""The watch on leases."""

from archhatch.singleton_roles.watch import LeaseWatch


def test_a_watch_forgets_what_is_no_role_any_more():
    watch = LeaseWatch()
    for key in ("a", "b"):
        watch.record_grant(key, 1, 0, 10.0)
    watch.keep_only({"b"})
    assert watch.request_arguments("a", 12.0) == {} and watch.request_arguments("b", 12.0)["seen"] == [1, 0]
