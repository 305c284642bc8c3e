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
        """Submits a job; its tasks are started all together or not at all.

        Args:
            account: The client account.
            tasks: Number of tasks of the gang.
            accelerators: Accelerators per task.
            cores: Processor cores per task.
            memory_gb: Memory per task in GB.
            adjacency: rack for one rack, any for anywhere in a domain.
            guaranteed: Whether the job may claim the account's guarantee.
            estimated_run_s: Expected run time in seconds; a hint only.
            run_s: Run time in seconds, passed to the workers.
            urgent: Whether the job goes before the account's other jobs.
            command: The command that the tasks run.
            key: The Idempotency-Key of a submission whose answer was lost.
        """

        def run() -> None:
            body: dict[str, typing.Any] = {
                "account": values.required_text("--account", account),
                "tasks": values.whole_number("--tasks", tasks, 1),
                "accelerators": values.whole_number(
                    "--accelerators", accelerators
                ),
            }
            for name, number in (("cores", cores), ("memory_gb", memory_gb)):
                if number is not None:
                    flag = "--" + name.replace("_", "-")
                    body[name] = values.whole_number(flag, number)
            for name, duration in (
                ("estimated_run_s", estimated_run_s),
                ("run_s", run_s),
            ):
                if duration is not None:
                    flag = "--" + name.replace("_", "-")
                    body[name] = values.seconds(flag, duration)
            for name, boolean in (
                ("guaranteed", guaranteed),
                ("urgent", urgent),
            ):
                if boolean is not None:
                    body[name] = values.boolean(f"--{name}", boolean)
            if adjacency is not None:
                body["adjacency"] = adjacency
            if command is not None:
                body["command"] = command
            answer = self._session.change("POST", "/v1/jobs", body, key)
            self._session.show(answer, views.job_details)

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def show(self, job: str) -> sessions.Action:
        """Shows one job.

        Args:
            job: The job's id.
        """

        def run() -> None:
            path = f"/v1/jobs/{sessions.quote_segment(job)}"
            self._session.show(self._session.get(path), views.job_details)

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
            account: Only jobs of this account.
            state: Only jobs in this state.
            limit: Maximum number of jobs, the newest first.
        """

        def run() -> None:
            answer = self._session.get(
                "/v1/jobs", account=account, state=state, limit=limit
            )
            self._session.show_list(
                answer, lambda jobs: [views.job(job) for job in jobs]
            )

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def cancel(self, job: str) -> sessions.Action:
        """Cancels a job; cancelling it again has no effect.

        Args:
            job: The job's id.
        """

        def run() -> None:
            path = f"/v1/jobs/{sessions.quote_segment(job)}"
            answer = self._session.change("DELETE", path)
            self._session.show(answer, views.job_details)

        return sessions.Action(run)

    @decorators.SetParseFn(str)
    def explain(
        self, job: str | None = None, logs: str | None = None
    ) -> sessions.Action:
        """Explains how jobs spent their time, from the logs of all VMs.

        Sends nothing to the VMs. Without a job, it sums the time of all jobs
        by queue, client account, failure domain and two-second interval of
        their submission.

        Args:
            job: The job's id; all jobs if left out.
            logs: Files with the logs of the VMs, comma-separated.
        """

        def run() -> None:
            site = stories.story_of(
                explaining.read_events(values.required_text("--logs", logs))
            )
            if job is None:
                self._session.show(explaining.sum_rows(site))
            else:
                self._session.show(explaining.job_rows(site, job))

        return sessions.Action(run)
