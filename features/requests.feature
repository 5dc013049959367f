Feature: Requests keep their promises under any mix of faults

  Scenario: No order runs twice and every outcome is true
    When guards and an entry go through random faults
    Then every caller was told the truth and most work was answered
