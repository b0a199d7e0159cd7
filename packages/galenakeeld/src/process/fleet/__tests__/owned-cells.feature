Feature: A cell that is claimed again knows nothing of its earlier term

  # Guards against REFUSED: an owner that has lost the state of a job would refuse it as one that has not run.
  Scenario: A submission to an earlier term reaches no cell
    Given a daemon "n1" of the zone "north" that owns nothing
    And the peer "s1" of the zone "south" owns "south"
    When the daemon reviews its claims
    And the daemon gives up "north", and claims it again after 5000 ms
    Then a submission to its first term of "north" reaches no cell
    And a submission to its second term of "north" reaches the cell
