Feature: Processes exchange typed messages over authenticated links

  Scenario: Every kind of message survives the wire
    Then any peer message decodes to what was encoded

  Scenario: Arbitrary bytes are refused with a code
    Then arbitrary bytes never decode to anything but a coded error

  Scenario: A peer without a known key gets nothing
    Given a peer link that knows one key
    When a stranger and a known peer send messages to the link
    Then the link receives those of the known peer only

  Scenario: A malformed message is counted and does no harm
    Given a peer link that knows one key
    When the known peer sends a malformed message before a good one
    Then the link counts one malformed message and receives the good one
