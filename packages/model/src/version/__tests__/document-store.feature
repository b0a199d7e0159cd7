Feature: Document store

  Scenario: A write with a lost answer counts even if another operator has replaced the document
    Given a table with the document of "paysheet" by "roisin"
    When "aoife" accepts a document, its answer is lost, and "saran" replaces it before the table is read back
    Then the document of "aoife" is accepted as version 2
    And the document of "saran" is in force as version 3

  Scenario: An operator whose change is based on an old version gets a conflict and changes nothing
    Given a table with the document of "paysheet" by "roisin"
    When "aoife" accepts a document that is based on version 0
    Then accepting the document fails with "document-conflict"
    And the document of "roisin" is in force as version 1

  Scenario: A write whose result can't be determined is reported as such
    Given a table with the document of "paysheet" by "roisin"
    When "aoife" accepts a document, its answer is lost, and the platform goes down
    Then accepting the document fails with "platform-unavailable" and the message "does not tell whether it is accepted"

  Scenario: A history of several pages is read completely
    Given a table with 450 accepted documents of "paysheet"
    Then the history of "paysheet" has versions 1 to 450 in order

  Scenario: An endpoint address that two services have in common is found
    Given a table with the document of "paysheet" by "roisin"
    Then a document of "rerate" with the same endpoint has the address "10.1.0.1:8080" in common with "paysheet"

  Scenario: A reader that is a few changes behind reads only the changed documents
    Given a table with 100 services
    And a reader that has read the catalogue
    When the documents of "service-7, service-9, service-7" are accepted again
    Then the reader receives "service-7, service-9" up to version 103 in 3 reads

  Scenario: A reader that is many changes behind reads all documents
    Given a table with 100 services
    And a reader that has read the catalogue
    When the documents of 60 services are accepted again
    Then the reader receives 100 documents up to version 160

  Scenario: If the row of a change is missing, the reader reads all documents
    Given a table with 10 services
    And a reader that has read the catalogue
    When the documents of "service-7, service-9" are accepted again
    And the row of change 11 is missing
    Then the reader receives 10 documents up to version 12

  Scenario: After a stale read of a document, the catalogue version stays below the document's change
    Given a table with 10 services
    And a reader that has read the catalogue
    When the documents of "service-7, service-9, service-8" are accepted again
    But a read of the document of "service-9" returns its earlier version
    Then the reader receives "service-7, service-8, service-9" up to version 11 in 3 reads

  Scenario: The table keeps the rows of the latest thousand changes
    Given a table with 1010 accepted documents of "paysheet"
    Then the table has the rows of changes 11 to 1010
