"""Case 11: a late removal of its own row hides a running instance, and two instances issue the permits of a target."""
import asyncio
import bisect
import collections
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_in_3"))
from harness import BOUNDS, Case, Connection, Target, configuration, route, trouble  # noqa: E402

HOST_NAME = "jepu9.example"
RATE = 20.0  # requests a second that each target in need takes from all machines
TARGETS = 8
CLIENTS_PER_INSTANCE = 40
LOAD_S = 14.0
WINDOW_S = 4.0
LATE_S = 5.5  # platform_lost, late: done 1 to 6 s later


class LimitedTarget(Target):
    """A target in need: names Server-Limit in its answers, from the first on."""

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, **named)
        self.named_at = None

    def extra_headers(self):
        if self.named_at is None:
            self.named_at = time.monotonic()
        return [("Server-Limit", str(RATE))]


class TwoIssuers(Case):
    async def play(self):
        targets = [LimitedTarget(self.store, self.record, f"i-{n}", "dele69a", "suva-a", slots=6, work_s=0.02)
                   for n in range(TARGETS)]
        for target in targets:
            await target.open()
        self.store.put("op", "config", configuration(
            [route("r-1", HOST_NAME, "/levo940/", "safe", "dele69a", timeout_s=1.5)], ["dele69a"]))
        old = self.add_instance("front-suva-a-1", "suva-a")
        new = self.add_instance("front-suva-a-2", "suva-a")
        third = self.add_instance("front-nadi-b-1", "nadi-b")
        for instance in (old, third):
            await instance.start()
        for instance in (old, third):
            await instance.wait_ready()
        await asyncio.sleep(1)
        if trouble():
            lost = []

            def late(call):
                # One write that is done and not answered, LATE_S later.
                if call["delete-keys"] and not lost:
                    lost.append(call)
                    self.record(f"store: loses the answer to the removal of {old.name}", True)
                    return LATE_S
                return None
            self.store.late = late
        stopped_at = time.monotonic()
        await old.stop()
        await old.start()
        await old.wait_ready()
        await asyncio.sleep(max(0, stopped_at + LATE_S + 0.5 - time.monotonic()))
        await new.start()
        await new.wait_ready()
        # All have been in touch for contact-s, and old enough for any duty, before clients come.
        await asyncio.sleep(BOUNDS["contact-s"] + 2)
        answers = collections.Counter()
        # For each target and machine, when the machine first passed on an answer of the target.
        self.passed_on = {}
        await asyncio.gather(*(self.client(instance.name, n, instance.front, answers)
                               for instance in (old, new, third) for n in range(CLIENTS_PER_INSTANCE)))
        self.record(f"answers {dict(answers)}", True)
        return all([self.judge(target) for target in targets])

    async def client(self, machine, number, address, answers):
        name = f"{machine}-{number}"
        connection = await Connection.open(address)
        end = time.monotonic() + LOAD_S
        count = 0
        while time.monotonic() < end:
            attempt = f"{name}x{count}"
            count += 1
            self.record(f"client {name} sends {attempt}")
            answer = await connection.ask(
                "GET", f"/levo940/{count % 84}",
                [("Host", HOST_NAME), ("Attempt-Id", attempt), ("Cookie", f"Affinity-Key={count % 84}"),
                 ("Deadline-Ms", "2000")])
            status = None if answer is None else answer.status
            answers[status] += 1
            if status == 200:
                self.passed_on.setdefault((answer.body.split()[0].decode(), machine), time.monotonic())
            self.record(f"client {name} gets {status} for {attempt}")
            if answer is None or answer.header("connection") == "close":
                connection.close()
                connection = await Connection.open(address)
            if status != 200:
                await asyncio.sleep(min(0.3, float(answer.header("retry-after", "0.1"))) if answer else 0.1)
        connection.close()

    def judge(self, target):
        """LIMIT: from contact-s after the target first named its limit, in some 4 s more than 1.5 times that, + 5, from
        machines that had passed on such an answer half a second before or earlier."""
        begin = target.named_at + BOUNDS["contact-s"]
        arrivals = [at for at, attempt in target.arrivals if at >= max(
            begin, self.passed_on.get((target.identity, attempt.rsplit("-", 1)[0]), at) + 0.5)]
        most = max((bisect.bisect_right(arrivals, at + WINDOW_S) - n for n, at in enumerate(arrivals)), default=0)
        bound = 1.5 * RATE * WINDOW_S + 5
        self.record(f"LIMIT: {target.identity} gets {most} requests in some {WINDOW_S} s, {bound} allowed", True)
        return most <= bound


TwoIssuers(Path(__file__).parent).main()
