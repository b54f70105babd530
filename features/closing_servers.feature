Feature: Requests that a closing or stopping server has read
  A request that was read whole is answered whole; nothing that is idle for a moment, or
  late by a clock, is taken for finished.

  # Guards against ending while requests wait for an adapter, which nothing cancels.
  Scenario: Requests that wait for an adapter as the daemon stops get an answer
    Given a stopping fleet of 2 daemons whose adapters never load
    When 120 streams that wait for an adapter are under way as SIGTERM comes
    Then each is answered whole or surely not run
    And the daemon is gone before the kill

  # Guards against ending a server's threads before its listener is closed.
  Scenario: A connection that a closing server has just accepted isn't left without an end
    Given a server that is slow to register the connections that it accepts
    When it closes between accepting a connection and registering it
    Then the connection is answered or closed within 0.2 s

  # Guards against resetting connections that the kernel has accepted and the server hasn't.
  Scenario: Requests that wait to be accepted as a server closes get an answer
    Given a server that accepts no connections for 0.3 s
    When 20 requests are sent on new connections and it closes
    Then each of them gets a whole answer

  # Guards against closing by the time of day, which may jump, while a response is sent.
  Scenario: A response that is being sent survives a jump of the time of day
    Given a server whose responses are larger than the buffers of a connection
    When the time of day jumps by 60 s before a caller has read its response
    Then the slow caller gets all of it

  # Guards against cutting a running request, since the next one's header is late.
  Scenario: A late header doesn't end the connection of the request before it
    Given a callers' server whose requests take 2 s
    When a caller sends a request and the first bytes of the next header
    Then the slow caller gets all of it

  # Guards against a reset, by requests left unread, that destroys the response before them.
  Scenario: A draining server's response survives requests that follow it unread
    Given a callers' server whose requests take 0.3 s
    When the server drains and a slow caller sends 4 requests one after another
    Then the slow caller gets all of it

  # Guards against giving a request more time than its caller waits, while threads are busy.
  Scenario: The time that a request waits for a thread counts towards its deadline
    Given a callers' server with one thread whose requests take 0.5 s
    When two requests are sent at the same time
    Then both are known to have arrived within 0.2 s of being sent
