Feature: Bytes that are no answer and never end use bounded memory and time

  Scenario Outline: An upstream sends bytes without end, until the process closes
    Given an upstream whose answers are <answers> at <speed>
    When a request is sent to it while others are answered
    Then the request ends unknown within <seconds> seconds
    And the connection was closed, and the others were answered
    And the process used less than 60 MB for it

    Examples:
      | answers                       | speed      | seconds |
      | an endless status line        | link speed | 0.5     |
      | endless headers               | link speed | 0.5     |
      | endless informational answers | link speed | 0.5     |
      | an endless body               | link speed | 2.5     |
      | an endless chunked body       | link speed | 2.5     |
      | an endless chunk size         | link speed | 0.5     |
      | bytes after a whole answer    | link speed | 0.5     |
      | an endless status line        | a trickle  | 2.5     |
      | endless headers               | a trickle  | 2.5     |
      | an endless body               | a trickle  | 2.5     |
      | an endless chunked body       | a trickle  | 2.5     |

  Scenario: Endless bodies leave no memory in use, and small answers are not affected
    Given three upstream answers that never end and a budget of 1 MB
    Then each fails, and a small answer is read meanwhile
    And the whole budget is free again

  Scenario Outline: A stranger at the peer port sends <bytes>
    Given a process that listens for peers
    When a stranger sends it <bytes>
    Then the connection is closed within 0.5 seconds

    Examples:
      | bytes                     |
      | a frame of 70 MB          |
      | a frame that is no message |
      | an unknown message        |
