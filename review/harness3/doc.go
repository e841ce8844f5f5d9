// Command harness3 plays the cases of the third review against real processes of the program, on
// loopback addresses and the real clock. Its first argument is the name of a case.
package main
