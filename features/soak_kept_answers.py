"""Cases in which promises on answers, engines and limits are kept, by the check."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from types import MappingProxyType

import soak_records as records

from pimentohoist_standins._soak.records import Observations, RunOutcome

KEPT_ANSWERS: Mapping[str, dict[str, Observations]] = MappingProxyType(
    {
        'whole_successes': {
            'broken run': records.cut_attempt(100, 101, records.BROKEN_OFF)
        },
        'sealed_failures': {
            'own answer': records.refused_attempt(
                502, {'status': 500, **records.FAILED}
            ),
            'success of a repeat': records.attempt(
                {'status': 500, **records.FAILED}, {'status': 0}, **records.SAFE
            ),
            'no answer': records.cut_attempt(100, 101, {'status': 500}, status=0),
            'same status': records.attempt(
                {'status': 500, **records.FAILED}, status=500
            ),
        },
        'event_order': {
            'no stream': records.attempt({}, **records.SAFE, events=()),
            'failed stream': records.attempt({}, status=500, events=(7,)),
            'cut after its run': records.cut_attempt(
                100, 101, {'outcome': RunOutcome.COMPLETED}, events=(1,)
            ),
            'last event not recorded': records.attempt(
                {'last_event': None}, events=(1, 2)
            ),
            'broken stream': records.cut_attempt(
                100, 101, records.BROKEN_OFF, events=(1, 2)
            ),
            'resumed by its caller': records.attempt(
                records.RESUMED, **records.RESUMABLE, events=(3,)
            ),
        },
        'resumptions': {
            'run once': records.attempt({}),
            'allowed': records.attempt(
                records.BROKEN_OFF, records.RESUMED, **records.RESUMABLE
            ),
        },
        'one_software_version': {
            'went on at its own': records.attempt(
                {}, records.RESUMED, **records.RESUMABLE
            ),
            'events of the first run not recorded': records.attempt(
                {'last_event': None},
                {**records.RESUMED, 'last_event': None},
                **records.RESUMABLE,
            ),
            'begun anew at another': records.attempt(
                {}, {'software_version': 'v2'}, **records.RESUMABLE
            ),
        },
        'served_without_links': {
            '28 of 40, others all': records.callers_without_links(28, 12),
            '10 of 20 fail': records.callers_without_links(10, 10),
            'others serve nobody': records.callers_without_links(0, 40, 0),
            'the cut was over': records.callers_without_links(0, 40, ended_at=99),
        },
        'served_after_loss': {
            '10 of 40': records.callers_after_loss(10, 30),
            'within the time to recover': records.callers_after_loss(0, 40, 90),
        },
        'endpoint_limits': {
            '23 in 4 s': records.requests_at_limited_engine(23),
            'before it was known': records.requests_at_limited_engine(
                40, named_at=101.5
            ),
            'after it ended': records.requests_at_limited_engine(
                40, named_at=80, ended_at=90
            ),
            'daemon was paused': records.with_faults(
                records.requests_at_limited_engine(40),
                *records.requests_at_limited_engine(40).faults,
                records.fault_record('pause', 'front-1', 98),
            ),
        },
        'resumed_runs_apart': {
            'ended before': records.attempt({}, records.RESUMED, **records.RESUMABLE),
            'engine killed as it left': records.with_faults(
                records.attempt(
                    {'ended_at': None}, records.RESUMED, **records.RESUMABLE
                ),
                records.fault_record('engine_leaves', 'engine-1', 98, 101.5),
            ),
            'engine frozen': records.with_faults(
                records.attempt(
                    {'ended_at': None}, records.RESUMED, **records.RESUMABLE
                ),
                records.fault_record('engine_freeze', 'engine-1', 100.5, 104),
            ),
        },
        'falls_of_brittle': {
            '2 falls': records.falls_of_brittle_engines(98.5, 101),
            '2 falls before it was known': records.falls_of_brittle_engines(
                96, 97.9, 101, 104
            ),
            'after its end': records.falls_of_brittle_engines(98.5, 101, 110.1),
            '3 falls of 10': records.falls_of_brittle_engines(
                98.5, 101, 104, endpoints=10
            ),
            'the daemons were paused': records.with_faults(
                records.falls_of_brittle_engines(98.5, 101, 104),
                *records.falls_of_brittle_engines(98.5, 101, 104).faults,
                records.fault_record('pause', 'front-1', 104),
            ),
        },
        'runs_through_pauses': {
            'later': records.run_at_paused_engine(102.1),
            'goes on': records.run_at_paused_engine(None),
            'its caller left': records.run_at_paused_engine(**records.LEFT),
            'out of time': records.run_at_paused_engine(timeout_s=1.9),
            'crashed as well': records.with_faults(
                records.run_at_paused_engine(),
                *records.run_at_paused_engine().faults,
                records.fault_record('engine_crash', 'engine-1', 101),
            ),
            'the daemon was paused': records.with_faults(
                records.run_at_paused_engine(),
                *records.run_at_paused_engine().faults,
                records.fault_record('pause', 'front-1', 101),
            ),
            'without links': records.with_faults(
                records.run_at_paused_engine(),
                *records.run_at_paused_engine().faults,
                records.fault_record('engines_reset', 'front-1', 100, 102),
            ),
        },
        'answers_in_time': {
            'left': records.attempt({}, timeout_s=0.39, **records.LEFT),
            'sent in part': records.attempt({}, timeout_s=0.39, read_at=None),
            '0.4 s late': records.attempt({}, timeout_s=0.6),
            'paused': records.with_faults(
                records.attempt({}, timeout_s=0.39),
                records.fault_record('pause', 'front-1', 100.5),
            ),
            'slow caller': records.with_faults(
                records.attempt({}, timeout_s=0.39),
                records.fault_record('caller_slow', 'a-1', 100, 101),
            ),
        },
        'cancellations': {
            'closed by the daemon': records.cut_attempt(100, 101, {'ended_at': 103}),
            'daemon paused': records.with_faults(
                records.cut_attempt(100, 101, {'ended_at': 103}, **records.LEFT),
                records.fault_record('pause', 'front-1', 101),
            ),
            'engine frozen': records.with_faults(
                records.cut_attempt(100, 101, {'ended_at': 103}, **records.LEFT),
                records.fault_record('engine_freeze', 'engine-1', 101),
            ),
            'cancelled after 0.3 s': records.cut_attempt(
                100, 101, {'ended_at': 101.3}, **records.LEFT
            ),
            'unsafe': records.cut_attempt(
                100, 101, {'ended_at': 103}, **records.LEFT, **records.UNSAFE
            ),
            'link cut': records.with_faults(
                records.cut_attempt(100, 101, {'ended_at': 103}, **records.LEFT),
                records.LINK_CUT,
            ),
        },
        'adapter_slots': {'4 in 4': records.orders({'held': 4})},
        'one_holder_per_fence': {'one holder': records.orders({}, {'arrived_at': 101})},
        'fences_rise': {
            'refused': records.orders(
                {}, {'fence': 4, 'status': 412, 'arrived_at': 101}
            ),
            'after a crash': records.with_faults(
                records.orders({}, {'fence': 4, 'arrived_at': 110}),
                records.fault_record('engine_crash', 'engine-1', 105),
            ),
            'paused holder': records.with_faults(
                records.orders(
                    {}, {'holder': 'front-2', 'fence': 4, 'arrived_at': 101}
                ),
                records.fault_record('pause', 'front-2', 95, 100),
            ),
        },
        'quotas': {
            'lowered while a daemon was paused': records.with_faults(
                records.with_configurations(
                    (records.QUOTA, records.LOW_QUOTA),
                    records.two_requests_of_tokens(records.SLACK_TOKENS - 500),
                ),
                records.fault_record('pause', 'front-1', 51, 88),
            ),
            'all used': records.two_requests_of_tokens(records.SLACK_TOKENS - 500),
            'spread over 9 s': records.two_requests_of_tokens(
                records.SLACK_TOKENS, sent_at=109
            ),
            'lowered shortly before': records.with_configurations(
                (
                    records.QUOTA,
                    replace(records.LOW_QUOTA, sent_at=85, acknowledged_at=90),
                ),
                records.two_requests_of_tokens(records.SLACK_TOKENS - 500),
            ),
            'none': records.with_configurations(
                [records.CONFIGURATION],
                records.two_requests_of_tokens(2 * records.SLACK_TOKENS),
            ),
        },
        'retry_budget': {
            '74 repeats': records.repeated_request(74),
            'requests 9 s before': records.repeated_request(74, requests_at=91),
            '54 repeats of one request': records.repeated_request(54, requests_at=20),
        },
    }
)
