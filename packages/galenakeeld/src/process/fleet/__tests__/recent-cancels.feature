Feature: Cancels that a broken stream may have lost are sent again

  Background:
    Given cancels that are kept for 5000 ms

  Scenario: An owner whose stream was broken gets the cancels of the last seconds
    When the job "1" is cancelled at "n1" at 0 ms
    And the job "2" is cancelled at "n1" at 3000 ms
    And the job "3" is cancelled at "s1" at 3000 ms
    Then the cancels for "n1" at 4000 ms are "1, 2"
    And the cancels for "n1" at 6000 ms are "2"

  Scenario: A job that is submitted again stays cancelled in its earlier assignment
    When the job "1" is cancelled at "n1" at 0 ms
    And the job "1" is submitted to "n1" at 100 ms
    Then the cancels for "n1" at 200 ms are "1"

  Scenario: A job that is submitted to the next owner stays cancelled at the lost one
    When the job "1" is cancelled at "n1" at 0 ms
    And the job "1" is submitted to "n2" at 100 ms
    Then the cancels for "n1" at 200 ms are "1"
