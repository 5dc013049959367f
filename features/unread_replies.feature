Feature: Large answers on the link to a peer do not keep other replies from it

  Scenario Outline: A peer reads a large answer late
    Given a process whose answers are sent over the link to a peer
    When the peer reads only after an answer of 24 MB and <reply> were ready
    Then the peer receives both

    Examples:
      | reply                |
      | an answer of 1 KB    |
      | an answer of 8 MB    |
      | an answer of 24 MB   |
      | that one was not run |
      | that one has failed  |

  Scenario: Replies to many requests become ready behind a large answer
    Given a process whose answers are sent over the link to a peer
    When the peer reads only after an answer of 24 MB and 200 of 1 KB were ready
    Then the peer receives all in the order in which they became ready

  Scenario: A peer reads none of many large answers
    Given a process whose answers are sent over the link to a peer
    When the peer reads only after 6 answers of 24 MB were ready
    Then the peer receives 2 answers, and 4 times that there was no memory
    And the answers hold no room any more

  Scenario: A large answer to one peer is not read, and another peer reads
    Given a process whose answers are sent over the link to a peer
    When a peer reads none of 3 answers of 24 MB, and another one reads an answer of 24 MB
    Then the other one receives it

  Scenario Outline: Nobody waits for a reply any more
    Given a process whose answers are sent over the link to a peer
    When <event> while an answer of 12 MB waits for its turn
    Then the answers hold no room any more
    And no request is served any more

    Examples:
      | event                     |
      | the request's time ends   |
      | the request is cancelled  |
      | the peer closes the link  |
