Feature: Slopes are fitted by least squares

  Scenario: Any line is found again from points on it
    Then the fit of points on any line is that line with no residual

  Scenario: Points beside a line leave a residual
    When the values 0, 2 and 1 are measured at the sizes 0, 1 and 2
    Then the slope is 0.5, the intercept 0.5 and the residual 0.7071

  Scenario: One size makes no line
    Then fitting values at one size throws a RangeError
