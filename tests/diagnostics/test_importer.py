import json
import subprocess
import sys

import pytest
from tests.support.fakes import ROOT

from archhatch.routing import RoutingTable
from archhatch.routing.configuration import ClientLimits
from archhatch.diagnostics.importer import Importer, ConfigImportError

GOOD = """
events {}
http {
  client_max_body_size 2m;
  upstream quotes { server 10.0.0.1:80 weight=2; least_conn; }
  upstream stock { server 10.0.0.2:80; }
  server {
    listen 80;
    server_name a.example b.example *.c.example;
    gzip on;
    location /q/ { proxy_pass http://quotes; proxy_read_timeout 1500ms; proxy_next_upstream_tries 3;
                   proxy_next_upstream error timeout non_idempotent; }
    location /s/ { proxy_pass http://stock; proxy_set_header X y; }
    location ~ \\.php$ { proxy_pass http://stock; }
    location /r/ { proxy_pass http://stock/; }
    location /n/ { proxy_pass http://nowhere; }
    location /exact { proxy_pass http://stock; }
  }
}
"""


def write(tmp_path, text):
    path = tmp_path / "nginx.conf"
    path.write_text(text)
    return str(path)


def test_import(tmp_path):
    path = write(tmp_path, GOOD)
    doc, notes = Importer(path).read(4)
    plan = RoutingTable.from_document(doc)
    assert doc["Revision"] == 4 and plan.limits == ClientLimits(max_body_bytes=2 << 20) and len(doc["RouteTable"]) == 4
    route = plan.find_route("b.example", "/q/1")
    assert (route.kind, route.timeout_s, route.max_attempts, route.traffic_split) == (
        "idempotent",
        1.5,
        3,
        (("quotes", 1.0),),
    )
    assert (
        plan.find_route("a.example", "/s/x").kind == "non_idempotent" and plan.find_route("a.example", "/r/x") is None
    )
    lines = {int(n.split(":")[1]) for n in notes}
    assert lines == {5, 6, 7, 10, 13, 14, 15, 16, 17} and all(n.startswith(path) for n in notes)


@pytest.mark.parametrize(
    "text",
    [
        "http { server {",
        "http { upstream x { } } }",
        "",
        "events {}",
        "http { server { server_name a; location /x/ { proxy_pass http://no; } } }",
    ],
)
def test_what_cannot_be_imported(tmp_path, text):
    with pytest.raises(ConfigImportError):
        Importer(write(tmp_path, text)).read(1)


@pytest.mark.parametrize("text, status", [(GOOD, 0), ("http {", 1)])
def test_command(tmp_path, text, status):
    out = subprocess.run(
        [sys.executable, "-m", "archhatch", "import", write(tmp_path, text)],
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert out.returncode == status and "Traceback" not in out.stderr
    if status:
        assert out.stdout == "" and out.stderr.count("\n") == 1
    else:
        assert len(json.loads(out.stdout)["RouteTable"]) == 4
