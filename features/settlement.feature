Feature: A request that no upstream ran is not left undecided

  Scenario: No request begins that its caller was told would not
    When 600 drawn worlds of lost links make 1200 steps each
    Then requests were told never to have begun, and none of them began
    And some were told to have begun, and some arrived too late or were withdrawn

  Scenario Outline: An order runs twice, or after it was called not run, as processes stand still
    When processes stand still again and again for <seconds> seconds, with seed <seed>
    Then no order ran twice, or although its caller was told that it did not

    Examples:
      | seconds | seed |
      | 10      | 1    |
      | 10      | 3    |

  Scenario Outline: Orders are answered truthfully while processes stand still
    When processes stand still again and again for <seconds> seconds, with seed <seed>
    Then no order ran twice, or although its caller was told that it did not
    And nine of ten orders that were left undecided reached an upstream

    Examples:
      | seconds | seed |
      | 10      | 1    |
      | 10      | 2    |

  Scenario: An order that waits at a peer is withdrawn when its link is lost
    Given a process that passes orders on over a link to another
    When an order waits at the other process
    And the link is lost
    Then the order is soon decided as never begun
    And it can't begin any more
    And the next order arrives over the new link, and can begin

  Scenario: An order that was on its way when its link was lost never begins
    Given a process that passes orders on over a link to another
    When two orders are sent of which one is still on its way when the link is lost
    Then both orders are decided as never begun
    When the other process reads it late
    Then it does not begin
    And the next order arrives over the new link, and can begin

  Scenario: A lookup that waits when its link is lost may be sent elsewhere at no cost
    Given a process that passes orders on over a link to another
    When a lookup waits at the other process
    And the link is lost
    Then the order is soon decided as never begun

  Scenario: A lookup is not held for long when its process answers no more
    Given a process that passes orders on over a link to another
    When a lookup waits at the other process
    And the link is lost, and the other process answers no more
    Then the order is soon undecided

  Scenario: A question over a former link leaves the newer link open
    Given a process that passes orders on over a link to another
    When the link is lost, but the other process has yet to read a question on it
    And an order has begun at the other process
    And it reads the question
    Then the order is still running over the link

  Scenario: An order that had begun stays undecided
    Given a process that passes orders on over a link to another
    When an order has begun at the other process
    And the link is lost
    Then the order is soon decided as begun

  Scenario Outline: An order is undecided once its process can't be asked any more
    Given a process that passes orders on over a link to another
    When an order waits at the other process
    And the link is lost, and <event>
    Then the order is soon undecided

    Examples:
      | event                            |
      | the other process is replaced    |
      | no process listens any more      |
      | an earlier version answers there |

  Scenario: An order is undecided in time when its process answers no more
    Given a process that passes orders on over a link to another
    When an order waits there whose caller leaves in a second
    And the link is lost, and the other process answers no more
    Then the order is undecided before its caller leaves

  Scenario: Earlier versions read what newer ones send
    Then a process of an earlier version reads a pong that names a process

  Scenario: A guard begins no order that was stated as never begun
    When a peer asks about an order that a guard runs, and one that waits there
    Then the one that waits is stated as never begun, and is not sent
    And the one that runs is stated as begun
