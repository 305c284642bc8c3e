import http.server
import json
import pathlib
import socket
import threading

import pytest

from laburnumsill.cli import client as clients
from laburnumsill.cli import main

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
BASE = str(EXAMPLES / "base.toml")
SITE = f"--overlay={EXAMPLES / 'tana-shore' / 'site.toml'}"
FILES = (BASE, SITE)
PREFIX = "https://laburnumsill.invalid/problems/"


class Vm:
    """A fake VM that sends prepared answers and records the requests."""

    def __init__(self):
        self.answers, self.received = [], []
        vm = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def answer(self):
                length = int(self.headers.get("Content-Length", 0))
                body = self.rfile.read(length)
                headers = {k.lower(): v for k, v in self.headers.items()}
                vm.received.append((self.command, self.path, headers, body))
                status, reply, extra = vm.answers.pop(0)
                if status == 0:
                    self.close_connection = True
                    return
                raw = json.dumps(reply).encode()
                self.send_response(status)
                for name, value in extra.items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(raw)))
                self.end_headers()
                self.wfile.write(raw)

            do_GET = do_PUT = do_POST = do_DELETE = answer  # noqa: N815

            def log_message(self, *args):
                pass

        self.server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, args=(0.01,)).start()

    def reply(self, body, status=200, **extra):
        headers = {k.replace("_", "-"): v for k, v in extra.items()}
        headers.setdefault("Content-Type", "application/json")
        self.answers.append((status, body, headers))

    def problem(self, slug, status, **context):
        body = {"type": PREFIX + slug, "title": "T", "status": status}
        body |= {"detail": f"told {slug}", **context}
        self.reply(body, status, Content_Type="application/problem+json")

    def drop(self):
        self.answers.append((0, None, {}))

    def keys(self):
        return {
            headers.get("idempotency-key") for _, _, headers, _ in self.received
        }


@pytest.fixture
def vms():
    fake_vms = [Vm(), Vm()]
    yield fake_vms
    for vm in fake_vms:
        vm.server.shutdown()
        vm.server.server_close()


@pytest.fixture
def dead_address():
    """Yields an address that refuses connections: bound, not listening."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{bound.getsockname()[1]}"


def run(*arguments, at=()):
    addresses = [vm if isinstance(vm, str) else vm.address for vm in at]
    vms = [f"--vms={','.join(addresses)}"] if addresses else []
    return main.run([*arguments, *vms])


def push(*more, at):
    return run("config", "push", *FILES, "--expected-version=0", *more, at=at)


def test_push_sends_merged_files_with_a_key(vms, capsys):
    vms[0].reply({"version": 1, "digest": "d", "operator": "ann"})
    assert push("--operator=ann", "--output=json", at=vms) == 0
    method, path, headers, raw = vms[0].received[0]
    sent = json.loads(raw)
    assert (method, path) == ("PUT", "/v1/config")
    assert headers["idempotency-key"]
    assert (sent["expected_version"], sent["operator"]) == (0, "ann")
    assert sent["configuration"]["site"] == "tana-shore"
    assert json.loads(capsys.readouterr().out)["version"] == 1


def test_the_next_vm_is_tried_with_the_same_key(vms, dead_address, capsys):
    vms[0].drop()
    vms[1].reply({"version": 1})
    assert push(at=(dead_address, *vms)) == 0
    assert len(vms[0].keys() | vms[1].keys()) == 1
    assert "version" in capsys.readouterr().out


def test_unavailable_vm_is_skipped_and_retried(vms):
    for vm in vms:
        vm.problem("no-quorum", 503)
    vms[0].problem("proposal-lost", 503)
    vms[1].reply({"version": 1})
    assert push(at=vms) == 0
    assert len(vms[0].keys() | vms[1].keys()) == 1


def test_version_conflict_names_the_accepted_version(vms, capsys):
    vms[0].problem("version-conflict", 409, version=3, operator="ben")
    assert push(at=vms) == 1
    err = capsys.readouterr().err
    assert "told version-conflict" in err
    assert "operator=ben" in err
    assert err.count("\n") == 1
    assert not vms[1].received


def test_unknown_outcome_prints_the_key_for_a_resend(vms, dead_address, capsys):
    vms[0].drop()
    assert push("--key=mine", at=(vms[0], dead_address)) == 4
    assert "--key=mine" in capsys.readouterr().err


def test_unknown_outcome_is_not_reported_as_refused(vms):
    vms[0].drop()
    for _ in range(100):
        vms[1].problem("no-quorum", 503)
        vms[0].problem("no-quorum", 503)
    assert push("--timeout=1", at=vms) == 4


def test_transfer_without_target_is_never_resent(vms):
    vms[0].drop()
    assert run("group", "transfer", "root", at=vms) == 4
    assert not vms[1].received
    vms[0].problem("proposal-lost", 503)
    assert run("group", "transfer", "root", at=vms) == 4
    assert not vms[1].received
    vms[0].drop()
    vms[1].reply({})
    assert run("group", "transfer", "root", "--to=vm2", at=vms) == 0


def test_unreachable_vms_have_their_own_exit_code(dead_address, capsys):
    assert run("job", "list", at=(dead_address,)) == 3
    assert run("check", at=(dead_address,)) == 3
    assert run("group", "status", at=(dead_address,)) == 3
    assert push(at=(dead_address,)) == 3
    assert "Traceback" not in capsys.readouterr().err


@pytest.mark.parametrize(
    "arguments",
    [
        (),
        ("config",),
        ("nonsense",),
        ("config", "push", BASE),
        ("config", "push", BASE, "--expected-version=x"),
        ("config", "push", BASE, "--expected-version=-1"),
        ("config", "push", "none.toml", "--expected-version=0"),
        ("config", "check", BASE, f"--overlay={BASE}"),
        ("config", "check", SITE.partition("=")[2]),
        ("config", "check", BASE, "--output=xml"),
        ("config", "check", BASE, "--bogus=1"),
        ("config", "show", "--vms=nowhere"),
        ("config", "show", "--vms=none.toml"),
        ("config", "show", "--vms="),
        ("config", "show", "--timeout=soon", "--vms=127.0.0.1:1"),
        ("config", "show", "--in-force=perhaps"),
        ("job", "submit"),
        ("job", "submit", "--account=a", "--tasks=0"),
        ("job", "submit", "--account=a", "--run-s=-1"),
        ("job", "show"),
        ("group", "replace", "root", "--old=vm1"),
        ("request", "show", "k"),
    ],
)
def test_invalid_usage_or_file(arguments, capsys, monkeypatch):
    monkeypatch.delenv("LABURNUMSILL_VMS", raising=False)
    assert main.run(arguments) == 2
    assert "Traceback" not in capsys.readouterr().err


def test_unknown_policy_is_refused(tmp_path, capsys):
    path = tmp_path / "site.toml"
    path.write_text('requests.chooser = "best"\n')
    assert run("config", "check", BASE, f"--overlay={path}") == 2
    assert "requests.chooser" in capsys.readouterr().err


def test_misspelt_flag_sends_nothing(vms):
    assert push("--opertor=ann", at=vms) == 2
    assert not vms[0].received


def test_help(capsys):
    for command in ((), ("config",), ("config", "push"), ("job", "submit")):
        assert main.run([*command, "--help"]) == 0
        shown = capsys.readouterr().out
        assert "EXIT CODES" in shown
        assert "FIRE" not in shown
        assert command or "config\n" in shown
    assert "--accelerators" in shown


def test_check_and_show_files(capsys):
    assert run("config", "check", *FILES) == 0
    assert "tana-shore" in capsys.readouterr().out
    assert run("config", "check", *FILES, "--output", "json") == 0
    shown = json.loads(capsys.readouterr().out)
    assert shown["configuration"]["jobs"]["completion_weight"] == 0.7


def test_show_and_diff(vms, capsys, monkeypatch):
    assert run("config", "check", *FILES, "--output=json") == 0
    accepted = json.loads(capsys.readouterr().out)["configuration"]
    accepted["jobs"]["lease_s"] = 99
    answer = {"version": 4, "configuration": accepted}
    for _ in range(3):
        vms[0].reply(answer)
    monkeypatch.setenv("LABURNUMSILL_VMS", vms[0].address)
    assert run("config", "diff", *FILES, "--output=json") == 0
    differing = json.loads(capsys.readouterr().out)
    assert differing == [{"key": "jobs.lease_s", "accepted": 99, "file": 10.0}]
    assert run("config", "show", "--site=tana-shore", "--in-force") == 0
    assert vms[0].received[1][1] == "/v1/config?source=in-force"
    assert "jobs.lease_s" in capsys.readouterr().out
    assert run("config", "show", "--site=fingal") == 1


def test_vms_are_read_from_the_list_of_vms(vms, tmp_path):
    path = tmp_path / "vms.toml"
    entry = f'[[vms]]\nvm_id = "vm1"\nclient_address = "{vms[0].address}"\n'
    path.write_text(entry)
    vms[0].reply([])
    assert run("account", "list", f"--vms={path}") == 0


def test_accounts(vms, capsys):
    use = {"guaranteed": 16, "borrowed": 8, "queued": 3, "running": 2}
    shape = {"racks": 1, "workers": 0, "pairs": 2, "accelerators": 0}
    entry = {"guarantee": shape, "use": use, "shortfall": 4}
    domains = {"north": entry, "south": {"guarantee": shape}}
    lakeside = {"name": "lakeside", "domains": domains}
    vms[0].reply({"accounts": [lakeside]})
    vms[0].reply(lakeside)
    assert run("account", "list", at=vms) == 0
    shown = capsys.readouterr().out.splitlines()
    assert "1 racks, 2 pairs" in shown[1]
    assert shown[1].split()[-5:] == ["16", "8", "3", "2", "4"]
    assert shown[2].split()[-5:] == ["-"] * 5
    assert run("account", "show", "lakeside", "--output=json", at=vms) == 0
    assert json.loads(capsys.readouterr().out) == lakeside


def test_jobs(vms, capsys):
    vms[0].reply({"job_id": "north.1", "state": "queued"}, 201)
    submit = ("job", "submit", "--account=a", "--tasks=2", "--accelerators=8")
    more = ("--run-s=5", "--guaranteed", "--command=train 7", "--cores=4")
    assert run(*submit, *more, at=vms) == 0
    assert json.loads(vms[0].received[0][3]) == {
        "account": "a",
        "tasks": 2,
        "accelerators": 8,
        "cores": 4,
        "run_s": 5.0,
        "guaranteed": True,
        "command": "train 7",
    }
    listed = [{"job_id": "north.1", "spec": {"tasks": 2}, "started_at": 0.5}]
    vms[0].reply({"jobs": listed, "unavailable": ["south"]})
    assert run("job", "list", "--account=a", at=vms) == 0
    assert vms[0].received[1][1] == "/v1/jobs?account=a"
    shown = capsys.readouterr().out
    assert "JOB ID" in shown
    assert "1970-01-01T00:00:00Z" in shown
    assert "south" in shown
    vms[0].reply({"state": "cancelled"})
    assert run("job", "cancel", "north.1", at=vms) == 0
    assert vms[0].received[2][:2] == ("DELETE", "/v1/jobs/north.1")
    members = {"vm": "vm1", "problem": 2, "answered_by": 3}
    vms[0].problem("not-found", 404, **members)
    assert run("job", "show", "north.2", at=vms) == 1
    assert "vm=vm1" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("status", "outcome", "code"),
    [(200, "answered", 0), (500, "answered", 1), (202, "accepted", 0)],
)
def test_requests(vms, status, outcome, code, capsys):
    vms[0].reply({"a": 1}, status, Laburnumsill_Outcome=outcome)
    send = ("request", "send", "booking", "/confirm?hut=7", "--body=x")
    assert run(*send, "--request-class=c", "--key=0123", at=vms) == code
    method, path, headers, body = vms[0].received[0]
    assert (method, path, body) == (
        "POST",
        "/v1/services/booking/confirm?hut=7",
        b"x",
    )
    assert headers["laburnumsill-class"] == "c"
    assert headers["idempotency-key"] == "0123"
    assert outcome in capsys.readouterr().out


def test_request_with_unknown_outcome(vms):
    vms[0].reply({}, 504, Laburnumsill_Outcome="unknown")
    assert run("request", "send", "booking", at=vms) == 4


def test_problem_from_the_backend_server_is_final(vms):
    extra = {"Content-Type": "application/problem+json"}
    extra["Laburnumsill-Outcome"] = "answered"
    vms[0].answers.append((503, {"type": "theirs/unavailable"}, extra))
    assert run("request", "send", "booking", at=vms) == 1
    assert not vms[1].received


def test_check_and_group_status_query_every_vm(vms, dead_address, capsys):
    vms[0].reply({"vm": "vm1", "ready": True})
    vms[1].problem("not-ready", 503, vm="vm2")
    assert run("check", at=vms) == 1
    assert "told not-ready" in capsys.readouterr().out
    row = {"group": "root", "role": "leader", "voters": ["vm1", "vm2"]}
    vms[0].reply([row])
    assert run("group", "status", at=(vms[0], dead_address)) == 1
    shown = capsys.readouterr()
    assert "leader" in shown.out
    assert "vm1,vm2" in shown.out
    assert dead_address in shown.err


def test_answer_without_json_raises_refused_error(vms, capsys):
    vms[0].answers.append((200, "text", {"Content-Type": "text/plain"}))
    assert run("account", "show", "a", at=vms) == 0
    answer = clients.Answer("vm1:1", 200, {}, b"<html>")
    with pytest.raises(Exception, match="without JSON"):
        answer.json()
