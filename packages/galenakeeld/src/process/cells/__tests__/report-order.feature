Feature: Reports of an endpoint are ordered by its clock, and by the incarnation that answered

  Background:
    Given the reports of an endpoint that is listed with the incarnation 100

  Scenario: Reports of one incarnation that arrive in order are newer
    When a poll sent at 0 ms is answered at 10 ms by the incarnation 100 with the clock 505
    And a poll sent at 10 ms is answered at 20 ms by the incarnation 100 with the clock 515
    Then the last report is "newer"

  Scenario: A report that a newer one has overtaken is left out
    When a poll sent at 0 ms is answered at 10 ms by the incarnation 100 with the clock 505
    And a poll sent at 1 ms is answered at 20 ms by the incarnation 100 with the clock 504
    Then the last report is "overtaken"

  Scenario: A clock that has gone back counts if its poll was sent after the last report
    When a poll sent at 0 ms is answered at 10 ms by the incarnation 100 with the clock 505
    And a poll sent at 11 ms is answered at 20 ms by the incarnation 100 with the clock 3
    Then the last report is "newer"

  Scenario: An endpoint that restarted before its first report
    When a poll sent at 0 ms is answered at 10 ms by the incarnation 200 with the clock 5
    Then the last report is "other-incarnation"
    And the present incarnation is 200

  Scenario: The time of day of a restarted endpoint was set back
    When a poll sent at 0 ms is answered at 10 ms by the incarnation 100 with the clock 505
    And a poll sent at 11 ms is answered at 20 ms by the incarnation 50 with the clock 5
    Then the last report is "other-incarnation"
    And the present incarnation is 50

  Scenario: A report of the earlier incarnation that arrives late is left out
    When a poll sent at 0 ms is answered at 10 ms by the incarnation 100 with the clock 505
    And a poll sent at 40 ms is answered at 50 ms by the incarnation 200 with the clock 5
    And a poll sent at 11 ms is answered at 60 ms by the incarnation 100 with the clock 515
    Then the last report is "overtaken"
    And the present incarnation is 200

  Scenario: The clock of the next incarnation begins anew
    When a poll sent at 0 ms is answered at 10 ms by the incarnation 100 with the clock 505
    And a poll sent at 40 ms is answered at 50 ms by the incarnation 200 with the clock 5
    And a poll sent at 41 ms is answered at 60 ms by the incarnation 200 with the clock 15
    Then the last report is "newer"
