Feature: Bodies of requests are limited by the configuration

  Scenario: A body within the configured limit is refused as too large
    Given a deployment of 1 VM
    Then an upload of 20 MB is answered 200
    And an upload of 65 MB is answered 413

  Scenario: A changed limit of bodies applies only after a restart
    Given a deployment of 1 VM
    When the operator changes the limit of bodies to 2 MB
    Then within 2 seconds an upload of 3 MB is answered 413 on an open connection
    And an upload of 1 MB is answered 200
    When the operator changes the limit of bodies to 24 MB
    Then within 2 seconds an upload of 20 MB is answered 200 on an open connection

  Scenario Outline: Large uploads at once use more memory than the process has
    Given two processes with a memory of 300 MB each
    When 24 uploads of 14 MB for keys <where> arrive at once at the first, and a small one
    Then each upload is answered 200, or 503 with a time to retry
    And the upstreams ran exactly those answered 200, among them the small one
    And no process used more than 300 MB or ended
    And a later upload of 14 MB is answered 200

    Examples:
      | where         |
      | of the first  |
      | of the second |

  Scenario: Uploads without a stated length use more memory than the budget
    Given a budget of 100 kB for bodies beyond 8 kB each
    When two bodies of 80 kB without a length are read and kept
    Then the second one is refused before it is kept whole
    And a small body is read meanwhile
    And the room of each body is free again after its end

  Scenario: A short body is refused while long ones use the memory
    Given a budget of 1000 kB for bodies beyond 8 kB each
    When two bodies grow in turn until both are refused, and keep what they have
    Then a body of 100 kB has room meanwhile
    And the room of each body is free again after its end

  Scenario Outline: The memory of a process is read from its settings
    Given a settings file with the limits "<limits>"
    Then the process has a memory of <bytes> bytes

    Examples:
      | limits          | bytes     |
      | memory_mb = 300 | 300000000 |
      | max_fds = 4100  | 200000000 |
