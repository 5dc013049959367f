Feature: An answer is taken for what the upstream states

  Scenario Outline: An answer that lacks what a success has is passed on as one
    Given an upstream whose success has <lacking>
    When one request is sent
    Then it is not answered, as it may have run

    Examples:
      | lacking        |
      | no signature   |
      | no id          |
      | an encoding    |

  Scenario: A misdirected request that has not run is not sent to another upstream
    Given an upstream that answers 421 and states nothing else
    When one request is sent
    Then it is rejected

  Scenario: A failure without a length and without a body is lost
    Given an upstream that answers 500 without a length and without a body
    When one request is sent
    Then it is answered with the failure

  Scenario: The answer to a request is taken for the answer to a grant
    Given an upstream that answers a grant with an answer to a request
    When a grant is sent
    Then the grant is not answered
