"""Case 11: additional bytes of a faulty target are taken for the promise that the next request has not run."""
import asyncio
import collections
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_in_3"))
from harness import Case, Connection, Target, configuration, read_message, route, trouble  # noqa: E402

HOST_NAME = "lopu12.example"
FAULT_S = 5.0  # garble, extra late: share 0.6, x 0.03, 5 s
FAULTY_SHARE = 0.6
EXTRA_SHARE = 0.03
TARGETS = 5
CLIENTS = 16
LOAD_S = 7.0
# The answer of a server that sheds, as `fleetbench wire` prints it.
SHED = b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"


class FaultyTarget(Target):
    """Sends additional bytes after x of its complete answers, late: where the next answer is expected."""

    is_faulty = False
    fault_until = 0.0
    extras = 0
    random = random.Random(11)

    async def connection(self, reader, writer):
        owes_extra = False
        while True:
            request = await read_message(reader)
            if request is None:
                return
            if owes_extra:
                FaultyTarget.extras += 1
                self.record(f"{self.identity} sends additional bytes before its answer to "
                            f"{request.header('attempt-id')}")
                writer.write(SHED)
            writer.write(await self.respond(request))
            await writer.drain()
            owes_extra = (self.is_faulty and time.monotonic() < self.fault_until
                          and self.random.random() < EXTRA_SHARE)


class StrayRefusal(Case):
    async def play(self):
        targets = [FaultyTarget(self.store, self.record, f"i-{n}", "gowu98c", "suva-a", slots=4, work_s=0.1)
                   for n in range(TARGETS)]
        for target in targets:
            await target.open()
        self.store.put("op", "config", configuration(
            [route("r-1", HOST_NAME, "/hucu512/", "unsafe", "gowu98c", timeout_s=1.2)], ["gowu98c"]))
        instances = [self.add_instance(f"front-suva-a-{n}", "suva-a") for n in (1, 2)]
        for instance in instances:
            await instance.start()
        for instance in instances:
            await instance.wait_ready()
        await asyncio.sleep(1)
        if trouble():
            for target in targets[:int(TARGETS * FAULTY_SHARE)]:
                target.is_faulty = True
                target.fault_until = time.monotonic() + FAULT_S
        answers = {}
        await asyncio.gather(*(self.client(n, instances[n % 2].front, answers) for n in range(CLIENTS)))
        return self.judge(targets, answers)

    async def client(self, number, address, answers):
        connection = await Connection.open(address)
        end = time.monotonic() + LOAD_S
        count = 0
        while time.monotonic() < end:
            attempt = f"a{number:02d}x{count:05d}"
            count += 1
            self.record(f"client {number} sends {attempt}")
            answer = await connection.ask(
                "PUT", f"/hucu512/{number % 24}",
                [("Host", HOST_NAME), ("Attempt-Id", attempt), ("Cookie", f"Affinity-Key={count % 24}"),
                 ("Deadline-Ms", "1200")], b"charge 20 " + attempt.encode())
            answers[attempt] = None if answer is None else answer.status
            self.record(f"client {number} gets {answers[attempt]} for {attempt}")
            if answer is None or answer.header("connection") == "close":
                connection.close()
                connection = await Connection.open(address)
            if answers[attempt] != 200:
                await asyncio.sleep(0.05)
        connection.close()

    def judge(self, targets, answers):
        runs = collections.Counter(attempt for target in targets for attempt in target.runs)
        twice = sorted(attempt for attempt, count in runs.items() if count > 1)
        refused = sorted(attempt for attempt, status in answers.items() if status in (408, 421, 429, 503)
                         and runs[attempt] > 0)
        unasked = sorted(attempt for attempt in runs if attempt not in answers)
        self.record(f"{len(answers)} requests, answers {dict(collections.Counter(answers.values()))}, "
                    f"{FaultyTarget.extras} times additional bytes", True)
        self.record(f"TWICE: {len(twice)} non-idempotent requests ran more than once: {twice[:5]}", True)
        self.record(f"REFUSED: {len(refused)} were answered with a promise and ran: {refused[:5]}", True)
        self.record(f"UNASKED: {len(unasked)} ran that nobody sent", True)
        return not twice and not refused and not unasked


StrayRefusal(Path(__file__).parent).main()
