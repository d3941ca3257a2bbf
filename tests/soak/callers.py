"""Callers that submit jobs, poll their state, cancel some, and report every response."""

import http.client
import json
import random
import threading
import time

REQUEST_TIMEOUT_S = 4.0
FINISH_TIMEOUT_S = 25.0


class Callers:
    """Runs one thread per job. Every response is reported to the stand-in's checker."""

    def __init__(self, deployment, rng):
        self.deployment = deployment
        self.rng = rng
        self.threads = []
        self.unfinished = {}
        self.answers = {}
        self._lock = threading.Lock()
        self._stop_requested = threading.Event()

    def submit_job(self):
        job = f"{self.rng.getrandbits(64):016x}"
        queue = self.rng.choice(["urgent", "usual", "batch"])
        count = self.rng.randint(1, 4)
        work_ms = self.rng.randint(300, 2500)
        gang = self.rng.random() < 0.4
        spec = json.dumps([{"work_ms": work_ms, "gang": count if gang else 0}])
        step = {"Count": count, "Cpu": 1000, "MemMb": 500, "Gpu": self.rng.randint(0, 3),
                "EstimateMs": work_ms, "Checkpoint": True}
        if gang:
            step["Gang"] = True
        body = {"Spec": spec, "Steps": [step]}
        cancel = self.rng.random() < 0.15
        thread = threading.Thread(target=self._run_caller, daemon=True,
                                  args=(job, queue, body, cancel, random.Random(job)))
        self.deployment.call_standin("/standin/submitted", {"job": job, "spec": spec})
        self.threads.append(thread)
        thread.start()

    def finish(self):
        """Waits up to FINISH_TIMEOUT_S for every accepted job to end, then stops the callers."""
        deadline = time.monotonic() + FINISH_TIMEOUT_S
        for thread in self.threads:
            thread.join(max(0.0, deadline - time.monotonic()))
        self._stop_requested.set()
        for thread in self.threads:
            thread.join(REQUEST_TIMEOUT_S + 1)

    def _call(self, method, path, body, rng):
        entry = self.deployment.ip(rng.choice(self.deployment.entries))
        connection = http.client.HTTPConnection(entry, 27521, timeout=REQUEST_TIMEOUT_S)
        try:
            data = None if body is None else json.dumps(body)
            connection.request(method, path, data, {"Host": "site", "Authorization": "Bearer key"})
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read() or b"{}")
        except (OSError, ValueError, http.client.HTTPException):
            return 0, {}
        finally:
            connection.close()

    def _report(self, job, kind, status, body):
        with self._lock:
            self.answers[status] = self.answers.get(status, 0) + 1
        self.deployment.call_standin("/standin/answer", {
            "job": job, "kind": kind, "status": status, "state": body.get("State", "")})

    def _run_caller(self, job, queue, body, cancel, rng):
        path = f"/{queue}/{job}"
        with self._lock:
            self.unfinished[job] = "submitted"
        if not self._retry_until_answered(job, "submit", "POST", path, body, rng):
            del self.unfinished[job]
            return
        self.unfinished[job] = "accepted"
        if cancel:
            time.sleep(rng.uniform(0.0, 1.0))
            self._retry_until_answered(job, "cancel", "DELETE", path, None, rng)
        while not self._stop_requested.wait(rng.uniform(0.3, 1.0)):
            status, state = self._call("GET", path, None, rng)
            self._report(job, "state", status, state)
            if status == 200 and state.get("State") in ("completed", "failed", "canceled"):
                del self.unfinished[job]
                return

    def _retry_until_answered(self, job, kind, method, path, body, rng):
        """Repeats a request until its outcome is known. Returns whether it succeeded."""
        attempts = 0
        while not self._stop_requested.is_set():
            attempts += 1
            status, answer = self._call(method, path, body, rng)
            self._report(job, kind, status, answer)
            if 200 <= status < 300:
                return True
            # Some callers treat a refusal as final and do not retry.
            if status in (429, 503) and attempts >= 3 and rng.random() < 0.3:
                return False
            time.sleep(rng.uniform(0.1, 0.6))
        return False
