"""Callers that hand jobs in, ask for them and cancel some, and report what they were told."""

import http.client
import json
import random
import threading
import time

WAIT_S = 4.0
GIVE_UP_S = 25.0


class Callers:
    """Each job has a thread of its own. What callers were told goes to the stand-in's checker."""

    def __init__(self, deployment, chance):
        self.deployment = deployment
        self.chance = chance
        self.threads = []
        self.unfinished = {}
        self.answers = {}
        self._lock = threading.Lock()
        self._stop_asking = threading.Event()

    def hand_in(self):
        job = f"{self.chance.getrandbits(64):016x}"
        queue = self.chance.choice(["urgent", "usual", "batch"])
        count = self.chance.randint(1, 4)
        work = self.chance.randint(300, 2500)
        gang = self.chance.random() < 0.4
        spec = json.dumps([{"work_ms": work, "gang": count if gang else 0}])
        step = {"Count": count, "Cpu": 1000, "MemMb": 500, "Gpu": self.chance.randint(0, 3),
                "EstimateMs": work, "Checkpoint": True}
        if gang:
            step["Gang"] = True
        body = {"Spec": spec, "Steps": [step]}
        cancel = self.chance.random() < 0.15
        thread = threading.Thread(target=self._serve, daemon=True,
                                  args=(job, queue, body, cancel, random.Random(job)))
        self.deployment.standin("/standin/submitted", {"job": job, "spec": spec})
        self.threads.append(thread)
        thread.start()

    def finish(self):
        """Waits until every accepted job has ended, or callers give up."""
        until = time.monotonic() + GIVE_UP_S
        for thread in self.threads:
            thread.join(max(0.0, until - time.monotonic()))
        self._stop_asking.set()
        for thread in self.threads:
            thread.join(WAIT_S + 1)

    def _call(self, method, path, body, chance):
        entry = self.deployment.ip(chance.choice(self.deployment.entries))
        connection = http.client.HTTPConnection(entry, 27521, timeout=WAIT_S)
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
        self.deployment.standin("/standin/answer", {
            "job": job, "kind": kind, "status": status, "state": body.get("State", "")})

    def _serve(self, job, queue, body, cancel, chance):
        path = f"/{queue}/{job}"
        with self._lock:
            self.unfinished[job] = "handed in"
        if not self._insist(job, "submit", "POST", path, body, chance):
            del self.unfinished[job]
            return
        self.unfinished[job] = "accepted"
        if cancel:
            time.sleep(chance.uniform(0.0, 1.0))
            self._insist(job, "cancel", "DELETE", path, None, chance)
        while not self._stop_asking.wait(chance.uniform(0.3, 1.0)):
            status, state = self._call("GET", path, None, chance)
            self._report(job, "state", status, state)
            if status == 200 and state.get("State") in ("completed", "failed", "canceled"):
                del self.unfinished[job]
                return

    def _insist(self, job, kind, method, path, body, chance):
        """Tries until the answer is certain. True when it was done."""
        tries = 0
        while not self._stop_asking.is_set():
            tries += 1
            status, answer = self._call(method, path, body, chance)
            self._report(job, kind, status, answer)
            if 200 <= status < 300:
                return True
            # Some callers take a refusal for an answer and never come back.
            if status in (429, 503) and tries >= 3 and chance.random() < 0.3:
                return False
            time.sleep(chance.uniform(0.1, 0.6))
        return False
