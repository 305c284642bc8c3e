"""`laburnumsill job`: submit, show, list, cancel, explain."""

import typing

from fire import decorators

from laburnumsill.cli import explaining
from laburnumsill.cli import session as sessions
from laburnumsill.cli import values
from laburnumsill.cli import views
from laburnumsill.explain import stories


class JobCommands:
    """Jobs that need accelerators."""

    def __init__(self, session: sessions.Session) -> None:
        self._session = session

    @decorators.SetParseFn(str)
    def submit(
        self,
        account: str | None = None,
        tasks: str = "1",
        accelerators: str = "1",
        cores: str | None = None,
        memory_gb: str | None = None,
        adjacency: str | None = None,
        guaranteed: str | None = None,
        estimated_run_s: str | None = None,
        run_s: str | None = None,
        urgent: str | None = None,
        command: str | None = None,
        key: str | None = None,
    ) -> sessions.Action:
        """Submits a job; it runs whole or not at all.

        Args:
            account: The client account.
            tasks: Tasks of the gang.
            accelerators: Accelerators of one task.
            cores: Processor cores of one task.
            memory_gb: Memory of one task in GB.
            adjacency: rack for one rack, any for anywhere in a domain.
            guaranteed: Whether it may claim the account's guarantee.
            estimated_run_s: Expected run time in seconds; nothing rests on it.
            run_s: Run time in seconds, passed to the workers.
            urgent: Whether it goes before the account's other jobs.
            command: What the tasks run.
            key: The Idempotency-Key of a submission whose answer was lost.
        """

        def run() -> None:
            body: dict[str, typing.Any] = {
                "account": values.text("--account", account),
                "tasks": values.whole_number("--tasks", tasks, 1),
                "accelerators": values.whole_number(
                    "--accelerators", accelerators
                ),
            }
            for name, whole in (("cores", cores), ("memory_gb", memory_gb)):
                if whole is not None:
                    flag = "--" + name.replace("_", "-")
                    body[name] = values.whole_number(flag, whole)
            for name, time in (
                ("estimated_run_s", estimated_run_s),
                ("run_s", run_s),
            ):
                if time is not None:
                    flag = "--" + name.replace("_", "-")
                    body[name] = values.seconds(flag, time)
            for name, truth in (
                ("guaranteed", guaranteed),
                ("urgent", urgent),
            ):
                if truth is not None:
                    body[name] = values.truth(f"--{name}", truth)
            if adjacency is not None:
                body["adjacency"] = adjacency
            if command is not None:
                body["command"] = command
            answer = self._session.change("POST", "/v1/jobs", body, key)
            self._session.show(answer, views.whole_job)

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def show(self, job: str) -> sessions.Action:
        """Shows one job.

        Args:
            job: The job's id.
        """

        def run() -> None:
            path = f"/v1/jobs/{sessions.quoted(job)}"
            self._session.show(self._session.get(path), views.whole_job)

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def list(
        self,
        account: str | None = None,
        state: str | None = None,
        limit: str | None = None,
    ) -> sessions.Action:
        """Lists jobs.

        Args:
            account: Only this account's.
            state: Only those in this state.
            limit: At most so many, the newest first.
        """

        def run() -> None:
            found = self._session.get(
                "/v1/jobs", account=account, state=state, limit=limit
            )
            self._session.show_list(
                found, lambda jobs: [views.job(job) for job in jobs]
            )

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def cancel(self, job: str) -> sessions.Action:
        """Cancels a job; cancelling it again changes nothing.

        Args:
            job: The job's id.
        """

        def run() -> None:
            path = f"/v1/jobs/{sessions.quoted(job)}"
            answer = self._session.change("DELETE", path)
            self._session.show(answer, views.whole_job)

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def explain(
        self, job: str | None = None, logs: str | None = None
    ) -> sessions.Action:
        """Says what jobs spent their time on, from the logs of all VMs.

        Asks no VM. Without a job, it adds up all jobs: by queue, client
        account, failure domain and the two seconds in which they came.

        Args:
            job: The job's id.
            logs: Files with the logs of the VMs, with commas between.
        """

        def run() -> None:
            site = stories.story_of(
                explaining.read(values.text("--logs", logs))
            )
            if job is None:
                self._session.show(explaining.sums(site))
            else:
                self._session.show(explaining.job(site, job))

        return sessions.Action(run)
