Feature: Answers without end at many requests at once leave the other requests alone

  Bytes that are no answer and never end must neither use up the memory of a process,
  which would end with all its requests, nor the room of the answers to others.

  Scenario Outline: The upstream of one VM sends <answers> to 40 requests at once
    Given two programs with a memory of 200 MB each, whose upstreams may send without end
    When 40 requests to <where> get <answers>, while others are answered
    Then each of the 40 ends with 502, 503 or 504
    And the others were answered, also one of 2 MB
    And no program used more than 200 MB or ended

    Examples:
      | answers                 | where     |
      | endless headers         | the first |
      | an endless body         | the first |
      | an endless chunked body | the first |
      | a body of a terabyte    | the first |
      | an endless body         | the other |

  Scenario Outline: The upstream of one VM sends 40 answers of 24 MB at once
    Given two programs with a memory of 200 MB each, whose upstreams may send without end
    When 40 requests to <where> get many large answers, while others are answered
    Then each of the 40 ends with 200, 502, 503 or 504
    And the others were answered, also one of 2 MB
    And no program used more than 200 MB or ended

    Examples:
      | where     |
      | the first |
      | the other |

  Scenario: Callers do not read the large answers to their requests
    Given two programs with a memory of 200 MB each, whose upstreams may send without end
    When 40 callers get many large answers and read nothing
    Then no program used more than 200 MB or ended
    And once the callers have left, an answer of 24 MB is passed on

  Scenario Outline: The store sends <answers>
    Given two programs with a memory of 200 MB each, whose upstreams may send without end
    When the store answers each call with <answers> for 4 seconds
    Then no program used more than 200 MB or ended
    And the programs follow the operator again within 3 seconds

    Examples:
      | answers                 |
      | an endless body         |
      | a body of a terabyte    |
