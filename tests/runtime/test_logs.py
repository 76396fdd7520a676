"""Log lines: what comes from outside makes none of its own."""

import json

import pytest

from archhatch.runtime import SettingsError, open_logs
from archhatch.runtime.settings import check_settings

SETTINGS = {"NodeName": "n", "IpAddress": "1.1.1.1", "InternalPorts": [1, 9]}
FORGED = "r1\nedge-9 E all is lost\x1b[2J\u2028"


def test_a_value_with_line_breaks_stays_in_its_line(capfd):
    """Guards against names in a log line that forge lines of other nodes."""
    open_logs("edge-1").info("route {} is gone", FORGED)
    text = "edge-1 I route r1\\nedge-9 E all is lost\\x1b[2J\\u2028 is gone\n"
    assert capfd.readouterr().err == text


def test_lines_of_json_on_request(capfd):
    log_format = check_settings({**SETTINGS, "LogFormat": "json"}).log_format
    open_logs("edge-1", "INFO", log_format).warning("route {} is gone", FORGED)
    line = json.loads(capfd.readouterr().err)
    assert line["record"]["level"]["name"] == "WARNING" and line["record"]["extra"]["node"] == "edge-1"
    assert "\n" not in line["record"]["message"] and line["record"]["message"].startswith("route r1")


@pytest.mark.parametrize("value", ["xml", 5, ""])
def test_another_format_is_refused(value):
    with pytest.raises(SettingsError, match="LogFormat"):
        check_settings({**SETTINGS, "LogFormat": value})
