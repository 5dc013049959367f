Feature: Proper requests are not turned away as if they were wrong

  A process that knows no configuration yet can't tell whether a request is within the
  operators' limits.

  Scenario Outline: A process without a configuration gets a request with <size>
    Given a process without a configuration
    When a caller sends a request with <size>
    Then it is told within 1 seconds that it did not run, and when to come back

    Examples:
      | size              |
      | a body of 2 MB    |
      | a body of 20 MB   |
      | a head of 40 kB   |

  Scenario Outline: A connection that was opened <when> carries a longer head than before
    Given a deployment of 1 VM
    When a caller opens a connection <when>
    And the operator allows heads of 60 kB
    Then a request with a head of 40 kB is served on that connection

    Examples:
      | when                       |
      | and sends nothing yet      |
      | and has one request served |

  Scenario: A connection that is open carries no head above a limit that was lowered
    Given a deployment of 1 VM
    When a caller opens a connection and has one request served
    And the operator allows heads of 8 kB
    Then a request with a head of 10 kB is answered 431 on that connection
