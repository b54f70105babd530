Feature: Endpoints do no work for callers that have left

  # Guards against requests that reach an endpoint after their caller has left, since they were
  # read late.
  Scenario Outline: <kind> requests are read after their callers have left, by the server of <server>
    Given a fleet of 1 daemon with 1 engine
    When the daemon is paused for 0.8 s while 24 callers send <kind> requests to the server of <server> and <leave>
    Then no endpoint has got a request of these callers

    Examples:
      | kind      | server  | leave |
      | safe      | callers | close |
      | safe      | callers | reset |
      | unsafe    | callers | close |
      | stream    | callers | close |
      | resumable | callers | close |
      | safe      | daemons | close |
      | stream    | daemons | close |

  # Guards against endpoints that work on since the end of a connection isn't read while a
  # request runs on it.
  Scenario Outline: Callers of <kind> requests leave after sending <more>, to the server of <server>
    Given a fleet of 1 daemon with 1 engine
    When 12 callers send slow <kind> requests and <more> to the server of <server>, and <leave> after 0.5 s
    Then 0.6 s later no endpoint is at work for them
    And only the first requests of these callers have reached an endpoint

    Examples:
      | kind          | more                 | server  | leave |
      | safe          | nothing              | callers | close |
      | safe          | one more request     | callers | close |
      | safe          | one more request     | callers | reset |
      | safe          | three more requests  | callers | close |
      | safe          | half a head          | callers | close |
      | safe          | half a body          | callers | close |
      | safe          | a request and a half | callers | close |
      | stream        | one more request     | callers | close |
      | silent stream | nothing              | callers | close |
      | silent stream | one more request     | callers | close |
      | silent stream | one more request     | callers | reset |
      | safe          | one more request     | daemons | close |
      | silent stream | one more request     | daemons | close |

  # Guards against an end of a connection that isn't read since the next body waits for memory.
  Scenario: Callers leave whose next bodies wait for memory
    Given a daemon with low limits
    When 16 callers send slow safe requests and a body of the declared size to the server of callers, and close after 1 s
    Then 0.6 s later no endpoint is at work for them
    And only the first requests of these callers have reached an endpoint

  # Guards against requests that are sent after their callers have left while all threads were busy.
  Scenario: Callers leave whose requests wait for a thread
    Given a fleet of 1 daemon with 1 engine
    When 160 callers send safe requests of 2 s and nothing to the server of callers, and stay
    And 24 callers send slow safe requests and one more request to the server of callers, and close after 0.3 s
    Then 2 s later no endpoint is at work for them
    And no endpoint has got a request of these callers

  # Guards against attempts that go by what a monitor saw some time before.
  Scenario Outline: A caller leaves <moment>
    Given a dispatch of requests to an endpoint
    When a caller leaves <moment>
    Then its request isn't sent, and ends as one of a departed caller

    Examples:
      | moment                                 |
      | before an endpoint is chosen           |
      | while its request waits for an adapter |
      | while a connection is opened           |
      | while the first of two attempts fails  |

  # Guards against places at brittle endpoints, and permits for limited ones, that are lost with
  # requests that aren't sent.
  Scenario Outline: A request is given up <moment>
    Given a dispatch of requests to an endpoint
    When a caller leaves <moment>
    Then the place and the permit that it took are given back

    Examples:
      | moment                                 |
      | while its request waits for an adapter |
      | while its prompt is quarantined        |
      | while a connection is opened           |

  # Guards against the same in pimentohoistd.
  Scenario Outline: A paused pimentohoistd reads <kind> after their callers have left
    Given a daemon with 2 ledgers as plain services
    When it is paused for 0.8 s while 24 callers send <kind> and leave
    Then no endpoint of it has got a request of these callers

    Examples:
      | kind       |
      | GET calls  |
      | POST calls |

  # Guards against the same for generations.
  Scenario: A paused pimentohoistd reads completions after their callers have left
    Given a retrying fleet of 1 daemon and 1 engine
    When it is paused for 0.8 s while 24 callers send completions and leave
    Then no endpoint of it has got a request of these callers
