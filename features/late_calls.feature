Feature: Calls to upstreams take effect late, while processes restart beside them

  Scenario Outline: Calls of a former process take effect after its successor handed keys over
    When <fleets> fleets of three VMs run for 60 s, with calls that take effect up to <late> s late, <restarts> restarts and <moves> hand-overs a second
    Then no upstream took a key that another one held, or under a token below that of another

    Examples:
      | fleets | late | restarts | moves |
      | 40     | 12   | 0.4      | 0.5   |
      | 15     | 5    | 0.3      | 4     |
      | 15     | 5    | 2        | 2     |

  Scenario: A range is taken before the tokens of a former process are known
    Given grants of a former process for all keys, whose tokens are not known
    When a range is taken under token 9, and the former tokens turn out to be 8 at most
    Then no former grant can take effect on the range, but on the keys beside it

  Scenario: Keys wait for grants without an answer although a later token would supersede them
    When 30 fleets of three VMs run for 60 s, with half of the calls unanswered for up to 12 s
    Then at most a fifth of the ranges that are released wait for the end of earlier grants
