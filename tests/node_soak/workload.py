"""Seeded jobs, and executors that run their work items with failures, gangs and slow remote runs."""
import asyncio
import time

from standins import Executor

FAR_FACTOR = 3
GANG_WAIT_S = 3.0
CHECKPOINT_S = 1.0
LAPSE_S = 4.5  # Three check-in intervals of 1.5 s.


class Job:
    def __init__(self, job_id, due_s, prefix, tenant, steps, work_s, fail_share):
        self.id, self.due_s, self.prefix, self.tenant = job_id, due_s, prefix, tenant
        self.steps = steps  # As submitted.
        self.work_s = work_s  # Seconds of a work item on a near executor, by step.
        self.fail_share = fail_share
        self.accepted_s = None
        self.checkpoint_chars = 0
        self.cancel_after_s = None  # Time from the acceptance to the cancellation; None if it is not cancelled.
        self.cancelled_s = self.cancel_status = None

    def tasks_of(self, step):
        return ["%s.0.%d.%d" % (self.id, step, index) for index in range(self.steps[step]["count"])]


def make_jobs(rng, traffic_s, gpus, racks):
    """Returns jobs with due times in [0, traffic_s) that use 20 to 60 % of `gpus` on average."""
    share = rng.uniform(0.2, 0.6)
    hot_racks = rng.sample(racks, min(2, len(racks)))
    jobs, used = [], 0.0
    while used < share * gpus * traffic_s:
        job = _make_job(rng, rng.uniform(0, traffic_s), racks, hot_racks)
        used += sum(s["count"] * s["gpu"] * w for s, w in zip(job.steps, job.work_s))
        jobs.append(job)
    return share, sorted(jobs, key=lambda job: job.due_s)


def make_late_jobs(rng, racks):
    """Returns jobs that arrive after the last fault; their due times count from its end."""
    return [_make_job(rng, due_s, racks, racks[:2]) for due_s in (0.5, 1.0, 2.0, 3.0, 4.5, 6.0)]


def make_hot_rack_jobs(rng, rack, gpus_of_rack):
    """Returns jobs with their data in one rack that need two and a half times its GPUs, for longer than a job may
    stand; they are due at once."""
    jobs = []
    for _ in range(gpus_of_rack * 5 // 2 // 8):
        seconds = rng.uniform(10, 11)
        step = {"count": 8, "cpu": 1000, "memMb": 1024, "gpu": 1, "estimateMs": int(1000 * seconds), "dataRack": rack}
        jobs.append(Job("%016x" % rng.getrandbits(64), 0.0, "/exam/", "tenant-b", [step], [seconds], 0.0))
    return jobs


def _make_job(rng, due_s, racks, hot_racks):
    kind = rng.choices(["single", "many", "two_steps", "gang"], [30, 20, 20, 30])[0]
    counts = {"single": [1], "many": [rng.randint(4, 24)],
              "two_steps": [rng.randint(1, 8), rng.randint(1, 6)], "gang": [rng.randint(2, 8)]}[kind]
    steps, work = [], []
    for number, count in enumerate(counts):
        seconds = rng.uniform(6, 11) if rng.random() < 0.12 else rng.uniform(0.3, 4)
        gpu = rng.choice([1, 1, 2, 4, 8]) if kind in ("gang", "single") else rng.choice([1, 1, 2])
        step = {"count": count, "cpu": 1000 * gpu, "memMb": 1024 * gpu, "gpu": gpu,
                "estimateMs": int(1000 * seconds * rng.uniform(0.6, 1.6))}
        if number > 0:
            step["after"] = [0]
        if kind == "gang":
            step["gang"] = True
            if rng.random() < 0.5:
                step["sameRack"] = True
        if rng.random() < 0.3:
            step["dataRack"] = rng.choice(hot_racks if rng.random() < 0.5 else racks)
        steps.append(step)
        work.append(seconds)
    return Job("%016x" % rng.getrandbits(64), due_s, rng.choice(["/exam/", "/notice/", "/batch/"]),
               rng.choice(["tenant-a", "tenant-b"]), steps, work,
               rng.uniform(0.1, 0.3) if rng.random() < 0.2 else 0.0)


def add_checkpoints(rng, jobs):
    """Gives the tasks of half of the jobs checkpoints, of which those of larger jobs together exceed a row."""
    for job in jobs:
        if rng.random() < 0.5:
            is_single = sum(step["count"] for step in job.steps) == 1
            job.checkpoint_chars = rng.choice([240, 4000, 70000] if is_single else [240, 1000, 4000])
            for step in job.steps:
                step["checkpointable"] = True


def add_cancellations(rng, jobs):
    """Chooses a third of the jobs, whose consumers cancel them, or give up and cancel after the first failure."""
    for job in jobs:
        if rng.random() < 0.33:
            job.cancel_after_s = rng.uniform(0.0, 2.0)


class Gang:
    """The members of one run of a gang, on all executors."""

    def __init__(self, size):
        self.size = size
        self.members = []  # (executor, run)
        self.is_broken = False
        self.is_complete = False


class Workload:
    """What the work items of all jobs do when they run."""

    def __init__(self, rng):
        self.rng = rng
        self.jobs = {}
        self.gangs = {}
        self.finished = set()  # Tasks that have a run that ended `done`; all members of a gang.

    def lookup(self, task):
        job_id, _, step, _ = task.split(".")
        return self.jobs[job_id], int(step)

    def prepare(self, executor, run):
        job, number = self.lookup(run.task)
        step = job.steps[number]
        run.job, run.step = job, number
        run.gpu = step["gpu"]
        run.arrived = run.began
        run.gang = None
        if job.checkpoint_chars:
            run.saved = lambda now, _: ("%08d" % (now - run.began) * (job.checkpoint_chars // 8)
                                        if now - run.began >= CHECKPOINT_S else "")
        run.outcome = "failed" if self.rng.random() < job.fail_share else "done"
        run.work_s = job.work_s[number] * (
            FAR_FACTOR if step.get("dataRack", executor.rack) != executor.rack else 1)
        if run.outcome == "failed":
            run.work_s *= self.rng.uniform(0.1, 0.9)
        if not step.get("gang"):
            return
        key = (job.id, number, run.run)
        run.gang = self.gangs.setdefault(key, Gang(step["count"]))
        run.gang.members.append((executor, run))
        near_work_s, run.work_s = run.work_s, 1e9  # No progress until all members are present.
        if len(run.gang.members) == run.gang.size and not run.gang.is_broken:
            self._begin_gang(run.gang, near_work_s, step)

    @staticmethod
    def _begin_gang(gang, work_s, step):
        gang.is_complete = True
        racks = {executor.rack for executor, _ in gang.members}
        if step.get("sameRack") and len(racks) > 1:
            work_s *= FAR_FACTOR
        now = time.monotonic()
        for _, run in gang.members:
            run.began, run.work_s = now, work_s
            run.outcome = gang.members[0][1].outcome

    def end_of(self, run, now):
        """Returns how `run` ends now; None while it goes on."""
        if run.gang is not None:
            if run.gang.is_broken:
                return "broken"
            if not run.gang.is_complete:
                return "alone" if now - run.arrived >= GANG_WAIT_S else None
        return run.outcome if now - run.began >= run.work_s else None

    def on_end(self, run, how):
        if how == "done":
            tasks = run.job.tasks_of(run.step) if run.gang is not None else [run.task]
            self.finished.update(tasks)
        elif run.gang is not None:
            run.gang.is_broken = True

    def is_step_done(self, job, step):
        return all(task in self.finished for task in job.tasks_of(step))

    def is_done(self, job):
        return all(self.is_step_done(job, step) for step in range(len(job.steps)))


class SoakExecutor(Executor):
    """An executor whose runs follow the workload, and whose registration needs the store."""

    def __init__(self, workload, store, record, name, service, rack, **shape):
        super().__init__(store, record, name, service, lambda task: 1.0, rack=rack, **shape)
        self.workload = workload
        self.is_gone = False  # It never comes back.
        self.is_disturbed = False  # It is cut off, or refuses or delays starts.
        self.on_start = self._disturb_start
        self.refuse_share = 0.0
        self.late_share = 0.0
        self.late_delay_s = (0.3, 2.5)
        self.late_starts_outlast_process = False
        self.over_capacity = []
        self.lapses = []  # When a lease was granted after the one before had lapsed.

    def _extend(self, body):
        if self.clock() >= self.deadline:
            self.lapses.append(self.record.seconds())
        super()._extend(body)

    def register(self, state="ready", **more):
        if not self.store.is_closed_to_executors:
            super().register(state, **more)

    def is_registered(self):
        row = self.store.read("servers", "", self.name)
        return row is not None and row["state"] == "ready" and row["born"] == self.born

    def _close(self, run, how):
        super()._close(run, how)
        self.workload.on_end(run, how)

    def _end(self, run, how):
        super()._end(run, how)
        if how != "done":
            self.ends[-1][4] = run.saved(time.monotonic(), self.checkpoint_s)

    def free_gpus(self):
        return self.capacity["gpu"] - sum(run.gpu for run in self.running.values())

    def _decide_start(self, task, number, body):
        before = self.running.get(task)
        answer = super()._decide_start(task, number, body)
        run = self.running.get(task)
        if run is not None and run is not before:
            self.workload.prepare(self, run)
            if self.free_gpus() < 0:
                self.over_capacity.append((self.record.seconds(), task))
        return answer

    async def _disturb_start(self, _, body):
        if self.workload.rng.random() < self.refuse_share:
            self.record(self.name, "refuses start %s run %d" % (body["task"], body["run"]))
            return 503, self._said()
        if self.workload.rng.random() < self.late_share:
            delay, born = self.workload.rng.uniform(*self.late_delay_s), self.born
            self.record(self.name, "delays start %s run %d" % (body["task"], body["run"]))
            asyncio.get_running_loop().call_later(delay, self._start_late, body, born)
            await asyncio.sleep(3600)
        return None

    def _start_late(self, body, born):
        if self.up and (self.born == born or self.late_starts_outlast_process):
            self.carry_out_start(body, "late")

    async def _tick(self):
        while True:
            await asyncio.sleep(0.02 if self.running else 0.08)
            now = time.monotonic()
            if self.running and self.clock() >= self.deadline:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")
            for run in list(self.running.values()):
                how = self.workload.end_of(run, now)
                if how is not None:
                    self._end(run, how)

    def vanish(self):
        """Ends without a sign: connections stay open and nothing replies."""
        self.up, self.cut, self.is_gone = False, True, True
        self.ticker.cancel()
        for run in self.running.values():
            self._close(run, "vanished")
        self.running = {}
        self.record(self.name, "vanished")
