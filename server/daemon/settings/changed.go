package settings

import "reflect"

// Changed returns the names of the fields, as Section.Field, in which two settings differ.
func Changed(a, b *Settings) []string {
	var names []string
	av, bv := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for i := range av.NumField() {
		section := av.Type().Field(i)
		for j := range av.Field(i).NumField() {
			if !reflect.DeepEqual(av.Field(i).Field(j).Interface(), bv.Field(i).Field(j).Interface()) {
				names = append(names, section.Name+"."+section.Type.Field(j).Name)
			}
		}
	}
	return names
}
