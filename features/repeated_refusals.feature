Feature: A refusal that an endpoint writes once more is taken for no other request
  An endpoint that refused a request writes the refusal again on the kept connection, before
  its response to the next request there.

  # Guards against "not run" for a request that ran, and against running it once more.
  Scenario Outline: A service repeats refusals that <naming>
    Given a daemon before one service that repeats refusals <times> that <naming>
    When 10 requests are sent after refusals with <statuses>
    Then no request that ran was answered as not run
    And no request ran twice
    And at least <answered> of them are answered as their own

    Examples:
      | naming                     | times   | statuses | answered |
      | name no request            | once    | 503      | 10       |
      | name no request            | twice   | 503      | 10       |
      | name no request            | once    | 429      | 10       |
      | name no request            | once    | 400      | 10       |
      | name their request         | once    | 503      | 10       |
      | follow a 103 and name none | once    | 503      | 10       |

  # Guards against taking the first refusal for the response to the second try.
  Scenario: An attempt comes again under its id to the service that refused it
    Given a daemon before one service that repeats refusals once that name their request
    When 20 requests are refused once and their callers send them again under the same id
    Then no request that ran was answered as not run
    And no request ran twice
    And at least 20 of them are answered as their own

  # Guards against connections that are thrown away without a reason.
  Scenario: Connections stay kept after refusals
    Given a daemon before one service that repeats refusals never that name their request
    When 40 requests are sent after refusals with 503
    Then at least 40 of them are answered as their own
    And at most 45 connections to the service were opened

  # Guards against waiting until the deadline for an answer that doesn't come.
  Scenario: A service that names no request in its refusals
    Given a daemon before one service that repeats refusals never that name no request
    When an unsafe request is refused on a kept connection
    Then it is answered within 1.5 s as perhaps run

  # Guards against an order, or a read of a report, that is settled by an earlier reply.
  Scenario: A refusal of an order is written once more
    Given an engine that refuses one order and repeats the refusal
    When its adapter is loaded by orders on kept connections
    Then no reply but the first is taken for a refusal
