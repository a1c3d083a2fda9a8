"""Checks from what upstreams saw that hosts obey their announcements."""

import collections

#: Seconds after the answer of an upstream within which requests may still
#: arrive that were sent before the host knew of it.
PAUSE_GRACE_S = 0.5

#: Maximum number of requests from one host that may reach an upstream from
#: then on to the end of its pause.
PAUSE_ARRIVALS = 2


class NoticeOracle:
    """Records announcements and arrivals; see `list_problems`.

    All times are in seconds on one clock.

    Args:
        drain_s: Seconds after an announced shutdown from which on no request
            that a caller sent may reach the run.
    """

    def __init__(self, drain_s):
        self._drain_s = drain_s
        self._pauses = collections.defaultdict(list)
        self._announced_at = {}
        self._arrivals = collections.defaultdict(list)

    def record_pause(self, host, run, now, pause_s):
        """Records that a run asked a host for a pause, when it answered."""
        self._pauses[host, run].append((now, now + pause_s))

    def record_announcement(self, host, run, now):
        """Records that a host received an answer of a leaving run."""
        self._announced_at.setdefault((host, run), now)

    def record_arrival(self, host, run, now, sent_at):
        """Records a request at a run that its caller sent at a given time."""
        self._arrivals[host, run].append((now, sent_at))

    def count_pauses(self):
        """Returns how many answers asked for a pause."""
        return sum(len(pauses) for pauses in self._pauses.values())

    def count_announcements(self):
        """Returns how many runs announced their shutdown, for each host."""
        return len(self._announced_at)

    def list_problems(self):
        """Describes the arrivals that should not have been."""
        problems = []
        for (host, run), arrivals in self._arrivals.items():
            for began_at, until in self._pauses[host, run]:
                late = [
                    now
                    for now, _ in arrivals
                    if began_at + PAUSE_GRACE_S < now < until
                ]
                if len(late) > PAUSE_ARRIVALS:
                    problems.append(
                        f"pause: {len(late)} requests of {host} reached {run}"
                        f" from {began_at:.3f} to {until:.3f}: {late[:5]}"
                    )
            announced_at = self._announced_at.get((host, run))
            if announced_at is None:
                continue
            problems += [
                f"leaving: a request of {host} sent at {sent_at:.3f} reached"
                f" {run} at {now:.3f}, announced at {announced_at:.3f}"
                for now, sent_at in arrivals
                if sent_at > announced_at + self._drain_s
            ]
        return problems
