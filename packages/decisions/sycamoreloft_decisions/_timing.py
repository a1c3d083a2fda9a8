"""Time constants of the ownership protocol."""

#: Lifetime of a grant on the upstream's clock, from the clock reading that
#: the grant carries.
GRANT_LIFETIME_S = 1.0
#: `GRANT_LIFETIME_S` in the unit of the wire format.
GRANT_LIFETIME_MS = 1_000
#: Time between two grants to the same upstream.
RENEWAL_INTERVAL_S = 0.2
#: Time after which an unanswered grant counts as failed. It is so short that
#: after one lost call the next one is answered before the grant in force
#: expires; with 0.45 s, grants often expired. An upstream that takes longer to
#: answer counts as unreachable.
GRANT_TIMEOUT_S = 0.3
#: Maximum relative difference between the rates of two clocks.
CLOCK_DRIFT = 0.02
#: Time after which a grant has certainly expired, on the holder's clock, from
#: the receipt of the clock reading that the grant carries.
GRANT_CERTAIN_END_S = GRANT_LIFETIME_S * (1 + CLOCK_DRIFT)
#: Validity of a promise on the holder's clock, from the time at which the
#: holder sent the request.
PROMISE_S = 0.6
#: `PROMISE_S` in the unit of the wire format.
PROMISE_MS = 600
#: Time between two promise requests to the same host.
PROMISE_INTERVAL_S = 0.15
#: Time for which the standby keeps a promise, on the standby's clock, from
#: the receipt of the request. The clock drift is added, so that the promise
#: never ends for the standby before it ends for the holder.
PROMISE_KEPT_S = PROMISE_S * (1 + CLOCK_DRIFT)
#: Maximum time between two writes of the group row.
ROW_HEARTBEAT_S = 15.0
#: Share of the offline limit after which the row is written again, if that
#: is earlier than `ROW_HEARTBEAT_S`.
ROW_HEARTBEAT_SHARE = 0.25
#: Time without progress of the holder after which other hosts take over.
TAKEOVER_SILENCE_S = 2.0
#: Added to `TAKEOVER_SILENCE_S` for each rank of a host, so that the hosts of
#: a domain try one after the other.
TAKEOVER_RANK_S = 0.25
#: Additional time that other hosts leave to a live standby. They do take over
#: after it, because a standby without access to the store cannot.
STANDBY_PREFERENCE_S = 2.0
#: Minimum time between two reads of the group row by one host.
READ_INTERVAL_S = 0.2
#: Time after which an unanswered read or write of the store is retried.
TABLE_TIMEOUT_S = 1.0
#: Time between two step-down requests to the same earlier holder.
STEP_DOWN_INTERVAL_S = 0.5
#: Time between two rounds of placement; moves that the loss of an upstream
#: forces do not wait for them.
PLACEMENT_INTERVAL_S = 1.0
#: Time for which a host that gave no promise is not chosen as a standby.
STANDBY_RETRY_S = 2.0
#: Time that an upstream has to answer a new holder before its units may be
#: assigned to others; enough for two grant calls.
FIRST_CONTACT_S = 0.6
#: Age of a clock reading at which the next grant is sent at once, because the
#: grant that carries the reading is about to expire.
LATE_READING_S = 0.5
#: Time after which an unresponsive standby candidate is replaced by another.
CANDIDATE_TIMEOUT_S = 0.3
