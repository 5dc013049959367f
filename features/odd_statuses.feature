Feature: An answer whose status is not valid is no answer

  Scenario Outline: An answer with a status outside 200 to 599 reaches the caller
    Given an upstream that answers with the status "<status>"
    When one request is sent
    Then it is not answered, as it may have run

    Examples:
      | status |
      | 000    |
      | 001    |
      | 099    |
      | 101    |
      | 199    |
      | 600    |
      | 999    |
      | 1000   |
      | 20     |
      | abc    |

  Scenario Outline: A rejection with a status outside 200 to 599 counts as proof that a request has not run
    Given an upstream that rejects with the status "<status>"
    When one request is sent
    Then it is not answered, as it may have run

    Examples:
      | status |
      | 000    |
      | 600    |
      | 999    |

  Scenario Outline: The health path with a status outside 200 to 599 names an instance
    Given an upstream whose health path answers with the status "<status>"
    When it is asked which instance it is
    Then it has not answered

    Examples:
      | status |
      | 000    |
      | 600    |

  Scenario Outline: More informational responses come before an answer than a client reads
    Given an upstream that writes <count> informational responses before its answer
    When one request is sent
    Then it is <result>

    Examples:
      | count | result                             |
      | 16    | answered with the whole body       |
      | 17    | not answered, as it may have run   |

  Scenario Outline: The client that the daemon and the caller library use takes an odd status for an answer
    When the client without an id gets an answer with the status "<status>"
    Then the result is "<result>"

    Examples:
      | status | result          |
      | 000    | response-broken |
      | 599    | answered        |
      | 600    | response-broken |
      | 999    | response-broken |

  Scenario: A peer's reply with a status outside 200 to 599 reaches the caller
    Then the replies of peers with the statuses 0, 99, 199, 600 and 999 leave open whether the request has run
