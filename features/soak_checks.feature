Feature: The checks of a fault soak tell broken promises from excused cases

  # Guards against requests cut by planned work that are excused, and the reverse.
  Scenario Outline: Requests around planned work: <failure>
    Then the check <check> finds its broken cases and none of its kept ones

    Examples:
      | check                 | failure                                              |
      | lost_at_stop          | a stopping daemon cuts what it has read              |
      | lost_at_reload        | a reload of settings cuts requests                   |
      | lost_at_configuration | a new configuration cuts requests                    |
      | kept_connections      | kept connections are closed on requests passed on    |

  # Guards against daemons that hang in their stop, crash or don't come back.
  Scenario Outline: Processes of daemons: <failure>
    Then the check <check> finds its broken cases and none of its kept ones

    Examples:
      | check             | failure                                                  |
      | gone_before_kill  | a daemon outlives its grace period                       |
      | exit_codes        | a daemon ends by itself or with an error                 |
      | ready_after_start | a daemon isn't ready after a start                       |

  # Guards against runs that a request's kind, key, route or answer forbids.
  Scenario Outline: Runs at endpoints: <failure>
    Then the check <check> finds its broken cases and none of its kept ones

    Examples:
      | check            | failure                                                   |
      | runs_once        | an unsafe request runs twice                              |
      | true_refusals    | a request refused as not run has run                      |
      | runs_asked_for   | an endpoint gets what no caller sent                      |
      | keys_stay_inside | a key is passed on                                        |
      | workspace_of_key | a request runs for a workspace that doesn't hold its key  |
      | group_of_route   | a request runs at a group of another route                |
      | drain            | requests still reach an endpoint that leaves              |

  # Guards against daemons that keep an old configuration or return to one.
  Scenario Outline: Configurations: <failure>
    Then the check <check> finds its broken cases and none of its kept ones

    Examples:
      | check                  | failure                                             |
      | configuration_in_force | a withdrawn key or an old route is still served     |
      | no_rollback            | a process returns to an older configuration         |

  # Guards against answers that are incomplete, joined wrongly, late or nobody's any more.
  Scenario Outline: Answers to callers: <failure>
    Then the check <check> finds its broken cases and none of its kept ones

    Examples:
      | check              | failure                                                 |
      | whole_successes    | an incomplete answer looks like a success               |
      | sealed_failures    | a failure bears a seal but another status               |
      | event_order        | events are missing, doubled or joined wrongly           |
      | resumptions        | a stream is resumed that may not be                     |
      | resumed_runs_apart | a stream goes on while the run before still works       |
      | one_software_version | a stream goes on at another software version          |
      | answers_in_time    | a request is held beyond its time                       |
      | cancellations      | a run goes on after its caller left                     |
      | served_without_links | a daemon without links serves fewer than others       |
      | served_after_loss  | daemons that were all lost don't serve again            |
      | runs_through_pauses | a request is cut as its endpoint is silent for a second |

  # Guards against two daemons that believe they own one engine.
  Scenario Outline: Orders to engines: <failure>
    Then the check <check> finds its broken cases and none of its kept ones

    Examples:
      | check                | failure                                               |
      | adapter_slots        | an engine is ordered to hold too many adapters        |
      | one_holder_per_fence | two holders use one fence                             |
      | fences_rise          | a lower fence is obeyed after a higher one            |

  # Guards against limits that hold for each daemon, or each fixed window, only.
  Scenario Outline: Limits over sliding windows: <failure>
    Then the check <check> finds its broken cases and none of its kept ones

    Examples:
      | check        | failure                                                       |
      | quotas       | a workspace spends more than its quota                        |
      | retry_budget | a group gets more repeats than its budget                     |
      | endpoint_limits | an endpoint gets more requests than it allows              |
      | falls_of_brittle | brittle endpoints fall over again and again               |

  # Guards against a check that is added without a case that it must find.
  Scenario: No check lacks cases
    Then every check has cases and an example here

  # Guards against checks that blame correct behaviour, or that never apply.
  Scenario: Histories that keep every promise pass, and every check applies to some
    Then no check finds a violation in 200 generated histories

  # Guards against checks too slow to run after each seed.
  Scenario: Large runs are checked quickly
    Then 20000 attempts are checked within 5 s
