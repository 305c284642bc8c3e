"""Settings of the consensus engine."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Periods and limits of one replica; the same in all of a group.

    The periods are lengths of time, because the engine turns them into
    deadlines again and again; no deadline is derived from them elsewhere.

    Attributes:
        election_timeout_s: Seconds without a leader before a campaign, at
            least, until its followers have learnt how regular the leader is
            (see `patience`); a leader without a majority steps down after as
            long.
        heartbeat_s: Seconds between heartbeats of an idle leader.
        max_append_bytes: Entry bytes in one APPEND; an entry larger than
            this goes alone.
        max_in_flight: Unanswered APPENDs to one follower.
        snapshot_chunk_bytes: Snapshot bytes in one SNAPSHOT.
        max_in_flight_bytes: Entry bytes unanswered by one follower.
        kept_bytes: Entry bytes kept behind a snapshot, so that a follower
            slightly behind needs no snapshot.
        max_kept_bytes: The same while a snapshot is being sent.
        learns_patience: Whether followers learn how regular their leader is;
            off for measurements only.
    """

    election_timeout_s: float = 1.0
    heartbeat_s: float = 0.25
    max_append_bytes: int = 262144
    max_in_flight: int = 64
    snapshot_chunk_bytes: int = 262144
    max_in_flight_bytes: int = 1048576
    kept_bytes: int = 262144
    max_kept_bytes: int = 8388608
    learns_patience: bool = True
