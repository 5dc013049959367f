Feature: Processes exchange typed messages over authenticated links

  Scenario: Every kind of message survives encoding and decoding
    Then any peer message decodes to the message that was encoded

  Scenario: Arbitrary bytes are rejected with a coded error
    Then arbitrary bytes decode to a message or raise a coded error

  Scenario: Messages from a peer without an allowed key are not received
    Given a peer link that allows one key
    When an unknown peer and an allowed peer send messages to the link
    Then the link receives only the messages of the allowed peer

  Scenario: A malformed message is counted and later messages still arrive
    Given a peer link that allows one key
    When the allowed peer sends a malformed message before a valid one
    Then the link counts one malformed message and receives the valid one
