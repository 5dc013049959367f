Feature: Late copies of the store's answers are not taken for those to other calls

  Scenario Outline: A copy of the answer to <earlier> is no answer to <later>
    Given a store that repeats an answer on a kept connection, before the next one
    When <later> follows <earlier>
    Then it fails, and says that it is <outcome>

    Examples:
      | earlier               | later                 | outcome      |
      | a read of vm-a        | a read of vm-b        | not done     |
      | a listing             | a read of vm-a        | not done     |
      | a read of vm-a        | a listing             | not done     |
      | a watch               | a listing             | not done     |
      | a listing             | a watch               | not done     |
      | a read of vm-a        | a replacement of vm-a | perhaps done |
      | a read of vm-a        | a replacement of vm-b | perhaps done |
      | a replacement of vm-a | a replacement of vm-b | perhaps done |
      | a newer read of vm-a  | a replacement of vm-a | perhaps done |
      | a listing             | a replacement of vm-a | perhaps done |
      | a conflict of vm-b    | a replacement of vm-a | perhaps done |
      | a conflict of vm-b    | a creation of vm-c    | perhaps done |
      | a read of vm-a        | a creation of vm-c    | perhaps done |
      | a creation of vm-d    | a creation of vm-c    | perhaps done |
      | a read of vm-a        | a removal of vm-b     | perhaps done |

  Scenario: A copy of the listing of one kind is not taken for that of another
    Given a store that repeats an answer on a kept connection, before the next one
    When a listing of another kind follows a listing
    Then it gets its own answer

  Scenario Outline: The own answer to <call> is taken for it
    Given a store that repeats an answer on a kept connection, before the next one
    When <call> is made alone
    Then it gets its own answer

    Examples:
      | call                      |
      | a read of vm-a            |
      | a listing                 |
      | a watch                   |
      | a replacement of vm-a     |
      | an unchanging replacement |
      | a creation of vm-c        |
      | a removal of vm-b         |
