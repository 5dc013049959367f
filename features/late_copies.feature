Feature: Bytes that belong to another answer are never taken for a request's answer

  Scenario: A late copy of an earlier answer becomes part of an answer without a length
    Given an upstream whose answer without a length contains a copy of an earlier answer
    When two requests are sent over the same connection
    Then the second is not answered, as it may have run

  Scenario: An answer without a length that is sent twice becomes one body
    Given an upstream that sends an answer without a length twice
    When one request is sent
    Then it is not answered, as it may have run

  Scenario: An answer without a length that ends with the start of a copy is taken for whole
    Given an upstream whose answer without a length ends with a part of a status line
    When one request is sent
    Then it is not answered, as it may have run

  Scenario: A successful answer without a length that ends after its head is taken for whole
    Given an upstream that ends its answer after the head, which states no length
    When one request is sent
    Then it is not answered, as it may have run

  Scenario: An answer without a length is returned whole
    Given an upstream whose answer without a length comes in pieces
    When one request is sent
    Then it is answered with the whole body

  Scenario: A copy of a refusal denies a request that runs
    Given an upstream that repeats a refusal of r1 while its next attempt runs
    When r1 is sent twice, one after the other
    Then the second attempt ends with its own answer

  Scenario: A copy of a failure is returned for the next attempt
    Given an upstream that repeats a failure of r1 while its next attempt runs
    When r1 is sent twice, one after the other
    Then the second attempt ends with its own answer

  Scenario Outline: A second answer with another body is returned for the next attempt
    Given an upstream that <answers> r1, and answers it again while it runs again
    When r1 is sent twice, one after the other
    Then the second attempt ends with its own answer

    Examples:
      | answers |
      | fails   |
      | refuses |

  Scenario: A connection that is one answer behind returns the second answer to an attempt
    Given an upstream that answers twice, the second time after the next request
    When r1, r2, r3 and r2 again are sent
    Then all are answered with their own bodies

  Scenario: The next attempt of an order goes over a connection that was idle for too long
    Given an upstream that refuses r1 on the second of two connections
    When r1 is sent again, with the first connection idle for longer than allowed
    Then it is sent over a third connection

  Scenario: The next attempt of a request waits in vain for a connection that it may use
    Given an upstream that accepts one connection and repeats a refusal of r1
    When r1 is sent twice, one after the other
    Then the second attempt ends with its own answer

  Scenario: A refusal without an id on a reused connection denies a request that runs
    Given an upstream that answers r1 and then writes a refusal that names no request
    When two requests are sent over the same connection
    Then the second is not answered, as it may have run

  Scenario Outline: A status that promises that a request has not run is believed without proof
    Given an upstream that answers <status> but does not say that it did not run the request
    When one request is sent
    Then it is not answered, as it may have run

    Examples:
      | status                |
      | 503 Unavailable       |
      | 429 Too Many Requests |
      | 408 Timeout           |

  Scenario Outline: A copy fills the rest of an answer that broke off
    Given an upstream that breaks an answer <framing> off and then writes <copy>
    When two requests are sent over the same connection
    Then the second is not answered, as it may have run

    Examples:
      | framing          | copy                                            |
      | with a length    | a copy of an earlier answer, which just fits    |
      | with a length    | a copy of an earlier answer, which is longer    |
      | with a length    | its second copy                                 |
      | with a length    | its second copy, cut where the body ends        |
      | with a length    | its second copy, cut where the body ends, late  |
      | with a length    | its second copy, cut after its status line      |
      | with a length    | its second copy, cut in the name of a header    |
      | with a length    | its second copy, cut in its head                |
      | with a length    | a refusal without an id, which just fits        |
      | with a length    | a refusal without an id but with a body         |
      | with a length    | such a refusal in pieces                        |
      | with a length    | a rate limit without an id but with a body      |
      | with chunks      | a refusal without an id but with a body         |
      | with chunks      | a copy of an earlier answer, which just fits    |

  Scenario Outline: A body that quotes another response is refused
    Given an upstream whose answer's body is <text>
    When one request is sent
    Then it is answered with the text

    Examples:
      | text                              |
      | the text of another response      |
      | a sentence that ends with a status |
      | a page that quotes a status       |
      | a page that quotes a whole answer of another protocol |
      | a page that quotes a whole refusal of another request |
      | a page that quotes a header of the protocol alone     |

  Scenario Outline: A late copy of an earlier answer costs the next request its answer
    Given an upstream that writes <copies> before its next answer
    When three requests are sent
    Then the second is answered with its own body
    And the third is answered over another connection

    Examples:
      | copies                               |
      | a copy of its answer                 |
      | a copy of its answer in pieces       |
      | two copies of its answer             |
      | a copy of its refusal                |

  Scenario Outline: An answer after a late copy that is incomplete is taken for whole
    Given an upstream that writes <copies> before its next answer
    When two requests are sent over the same connection
    Then the second is not answered, as it may have run

    Examples:
      | copies                                    |
      | a copy that is cut in its body            |
      | a copy without a length                   |
      | an answer to a request that was not sent  |

  Scenario Outline: A copy that is cut short merges with the next answer
    Given an upstream that writes the start of a refusal, cut <where>, before an answer
    When one request is sent
    Then it is not answered, as it may have run

    Examples:
      | where                    |
      | in the reason            |
      | in the not-run header    |
      | after a line             |
      | in the name of a header  |
      | within the status        |

  Scenario Outline: An answer that stops within its head is taken for whole
    Given an upstream that stops its answer <where> and closes
    When one request is sent
    Then it is not answered, as it may have run

    Examples:
      | where                          |
      | in the status line             |
      | after the status line          |
      | in the name of a header        |
      | in the length                  |
      | after the length               |
      | before the last line end       |
      | before the end of the body     |
      | before the last chunk          |

  Scenario Outline: A copy of the answer to another call completes a release
    Given an upstream that repeats its answer to a <call> while it still works on the keys
    When the <call> is answered and the keys are released
    Then the release waited for its own answer

    Examples:
      | call    |
      | grant   |
      | probe   |
      | release |

  Scenario: A copy of an answer that echoes the id of its call completes a release
    Given an upstream that echoes the ids of calls and repeats its answer to a grant
    When the grant is answered and the keys are released
    Then the release waited for its own answer

  Scenario: A copy of the answer to a grant hides that the next one is refused
    Given an upstream that repeats its answer to a grant before it refuses the next one
    When two grants are sent
    Then the second is refused
