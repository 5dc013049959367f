Feature: An answer of the platform's store completes only the call that it belongs to

  Scenario Outline: A late copy of an answer of the store is taken for a write's acknowledgement
    Given a store that repeats its answer to <call> before it refuses a write
    When both calls are made over one connection
    Then the write is not acknowledged

    Examples:
      | call                            |
      | a read of another object        |
      | a read of the object            |
      | an earlier write of the object  |

  Scenario: A late copy of an answer of the store is taken for another object
    Given a store that repeats its answer to a read before it answers the next read
    When two objects are read over one connection
    Then the second read does not return the first object
