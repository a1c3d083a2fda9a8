"""Time constants of ownership; all in seconds unless the name says ms."""

#: Life of a grant on the upstream's own clock.
GRANT_LIFETIME_S = 1.0
#: The same lifetime as it is sent.
GRANT_LIFETIME_MS = 1_000
#: Time between two grants to one upstream.
RENEWAL_INTERVAL_S = 0.2
#: Time after which a grant without an answer counts as failed. After one lost
#: call, the next is answered before the grant in force ends; with 0.45 s it
#: often was not. A slower upstream counts as unreachable.
GRANT_TIMEOUT_S = 0.3
#: Largest difference between the rates of two clocks.
CLOCK_DRIFT = 0.02
#: Time on the holder's clock, from the receipt of the last reading that it
#: used, after which a grant has certainly ended.
GRANT_CERTAIN_END_S = GRANT_LIFETIME_S * (1 + CLOCK_DRIFT)
#: Life of a promise, counted by the holder from the sending of its request.
PROMISE_S = 0.6
#: The same life as it is sent.
PROMISE_MS = 600
#: Time between two promise requests.
PROMISE_INTERVAL_S = 0.15
#: Time for which the standby keeps a promise, from the receipt of the request
#: on its own clock; longer than the holder's count by the clock drift.
PROMISE_KEPT_S = PROMISE_S * (1 + CLOCK_DRIFT)
#: Longest time between two writes of the group row.
ROW_HEARTBEAT_S = 15.0
#: Share of the offline limit after which the row is written again.
ROW_HEARTBEAT_SHARE = 0.25
#: Time without word from the holder after which other hosts take a group.
TAKEOVER_SILENCE_S = 2.0
#: Additional silence for each rank of the host that takes the group.
TAKEOVER_RANK_S = 0.25
#: Additional silence of the holder for which a live standby is waited for;
#: a standby without access to the store cannot take the group.
STANDBY_PREFERENCE_S = 2.0
#: Time between two reads of the table by one machine.
READ_INTERVAL_S = 0.2
#: Time after which a read or write without an answer is tried again.
TABLE_TIMEOUT_S = 1.0
#: Time between two requests to an earlier holder to step down.
STEP_DOWN_INTERVAL_S = 0.5
#: Time between two placement decisions that are not forced by a loss.
PLACEMENT_INTERVAL_S = 1.0
#: Time for which a host is not asked again to be the standby after it failed
#: to give a promise.
STANDBY_RETRY_S = 2.0
#: Time within which an upstream must answer a new holder before its units may
#: be given to others; two calls fit in it.
FIRST_CONTACT_S = 0.6
#: Age of a reading above which the next grant follows at once, because the
#: one sent with the reading is about to expire.
LATE_READING_S = 0.5
#: Time without an answer after which another host is asked to be the standby.
CANDIDATE_TIMEOUT_S = 0.3
