Feature: An answer is believed only if all that it names is its own request

  Scenario: An answer that names an earlier request, too, is taken for the request's own
    Given an upstream whose answer to r2 names r1 as well
    When two requests are sent over the same connection
    Then the second is not answered, as it may have run

  Scenario: An answer that names an earlier request and an unknown one is skipped as a copy
    Given an upstream that writes an answer to r1 and r0 before its answer to r2
    When two requests are sent over the same connection
    Then the second is not answered, as it may have run

  Scenario: The start of a failure that is cut in its reason gives the next answer its status
    Given an upstream that writes the start of a failure, cut in the reason, before its answer
    When one request is sent
    Then it is not answered, as it may have run

  Scenario: A connection that is never closed keeps the ids of all its requests
    Given an upstream that answers each request
    When more requests are sent one after the other than a connection may identify
    Then all are answered, and the last over another connection
